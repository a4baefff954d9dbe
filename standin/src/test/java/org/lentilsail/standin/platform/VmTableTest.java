package org.lentilsail.standin.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lentilsail.model.time.ManualTimeSource;
import org.lentilsail.platform.VmReport;

/** Guards against a list without delay and against operations that run twice. */
class VmTableTest {
  private static final PlatformSettings SETTINGS =
      new PlatformSettings(
          null,
          List.of(new VmSettings("v1", "worker", "127.0.0.1:1", "z1", "r1", "p1")),
          100L,
          500L,
          5_000L,
          10);

  private final ManualTimeSource time = new ManualTimeSource(0);
  private final VmTable table = new VmTable(SETTINGS, time);

  @Test
  void listShowsChangesWithDelay() {
    table.recordStatus("v1", 3, true, 1);
    time.advance(Duration.ofMillis(499));
    assertThat(report().draining(), is(false));
    time.advance(Duration.ofMillis(1));
    assertThat(report().draining(), is(true));
    assertThat(report().running(), is(3));
  }

  @Test
  void rebootsOncePerBootGeneration() {
    table.recordStatus("v1", 0, true, 7);
    assertThat(table.beginOperation("v1", true, 1), is(true));
    assertThat(table.beginOperation("v1", true, 1), is(false));
    assertThat(table.beginOperation("v1", false, 1), is(false));
    time.advance(Duration.ofSeconds(1));
    assertThat(report().bootGeneration(), is(1L));
    table.recordStatus("v1", 0, false, 8);
    time.advance(Duration.ofSeconds(1));
    assertThat(report().bootGeneration(), is(2L));
    assertThat(table.beginOperation("v1", false, 2), is(true));
  }

  @Test
  void countsUnrequestedBoot() {
    table.recordStatus("v1", 0, false, 7);
    table.recordStatus("v1", 0, false, 1);
    assertThat(table.beginOperation("v1", false, 1), is(false));
    assertThat(table.beginOperation("v1", false, 2), is(true));
  }

  @Test
  void reportsUnresponsiveVmAsGoneAndBackWithNewGeneration() {
    table.recordStatus("v1", 0, false, 7);
    time.advance(Duration.ofMillis(4_999));
    table.recordNoResponse("v1");
    time.advance(Duration.ofMillis(500));
    assertThat(report().state(), is("live"));
    table.recordNoResponse("v1");
    time.advance(Duration.ofMillis(500));
    assertThat(report().state(), is("gone"));
    table.recordStatus("v1", 0, false, 7);
    time.advance(Duration.ofMillis(500));
    assertThat(report().state(), is("live"));
    assertThat(report().bootGeneration(), is(2L));
  }

  private VmReport report() {
    return table.list().get(0);
  }
}
