package org.lentilsail.model.time;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against a manual time source that advances by itself or runs backwards. */
class ManualTimeSourceTest {
  @Test
  void advancesBothClocksByTheSameStep() {
    final ManualTimeSource time = new ManualTimeSource(1_000);
    time.advance(Duration.ofMillis(250));
    assertThat(time.wallMillis(), is(1_250L));
    assertThat(time.nanos(), is(250_000_000L));
  }

  @Test
  void rejectsNegativeSteps() {
    final ManualTimeSource time = new ManualTimeSource(0);
    assertThrows(IllegalArgumentException.class, () -> time.advance(Duration.ofMillis(-1)));
  }
}
