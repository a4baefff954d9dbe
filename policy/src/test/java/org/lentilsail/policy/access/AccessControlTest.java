package org.lentilsail.policy.access;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.lentilsail.policy.access.AccessRejection.CONFIGURATION_TOO_OLD;
import static org.lentilsail.policy.access.AccessRejection.KEY_MALFORMED;
import static org.lentilsail.policy.access.AccessRejection.KEY_MISSING;
import static org.lentilsail.policy.access.AccessRejection.KEY_UNKNOWN;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lentilsail.model.job.JobConfiguration;
import org.lentilsail.model.job.Organisation;
import org.lentilsail.model.job.QueueSpec;
import org.lentilsail.model.job.Resources;
import org.lentilsail.model.time.ClockReading;
import org.lentilsail.model.time.ManualTimeSource;
import org.lentilsail.model.time.TimeSource;

/** Guards against calls that are served without a valid key, and against wrong rejections. */
class AccessControlTest {
  private static final QueueSpec CLOSED = queue(false);
  private static final QueueSpec OPEN = queue(true);

  private final ManualTimeSource time = new ManualTimeSource(1_700_000_000_000L);

  @ParameterizedTest
  @ValueSource(strings = {"Bearer key-1", "bearer key-1", "BEARER   key-1", " Bearer key-1 "})
  void knownKeyIsServedForItsOrganisation(final String header) {
    final AccessDecision decision = decide(control(false), CLOSED, header);
    assertThat(decision.rejection(), is(Optional.empty()));
    assertThat(decision.caller(), is(Caller.of("one")));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        " ",
        "Bearer",
        "Bearer ",
        "Bearerkey-1",
        "key-1",
        "Basic key-1",
        "Bearer\tkey-1"
      })
  void headerWithoutKeyIsRejected(final String header) {
    assertThat(rejection(control(false), header), is(Optional.of(KEY_MALFORMED)));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"Bearer key-", "Bearer key-11", "Bearer KEY-1", "Bearer key-1, Bearer key-2"})
  void unknownKeyIsRejected(final String header) {
    assertThat(rejection(control(false), header), is(Optional.of(KEY_UNKNOWN)));
  }

  @Test
  void missingRepeatedAndTooLongHeadersAreRejected() {
    final AccessControl control = control(false);
    assertThat(rejection(control), is(Optional.of(KEY_MISSING)));
    assertThat(rejection(control, "Bearer key-1", "Bearer key-1"), is(Optional.of(KEY_MALFORMED)));
    assertThat(rejection(control, "Bearer " + "k".repeat(1_025)), is(Optional.of(KEY_MALFORMED)));
  }

  @Test
  void keyOutsideAsciiIsFoundByItsBytes() {
    final AccessControl control = new AccessControl(time, new RevocationBounds(false, 5_000));
    control.configure(configuration(2, organisation("one", "schlüssel")));
    final String received =
        new String("schlüssel".getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    assertThat(rejection(control, "Bearer " + received), is(Optional.empty()));
  }

  @Test
  void publicQueueAndConfigurationWithoutOrganisationsNeedNoKey() {
    final AccessControl control = control(true);
    time.advance(Duration.ofMinutes(1));
    assertThat(decide(control, OPEN, "Bearer key-1").caller(), is(Caller.ANONYMOUS));
    control.configure(configuration(2));
    assertThat(decide(control, CLOSED).caller(), is(Caller.UNRESTRICTED));
  }

  /** Guards against a removed key that a daemon with old configuration serves, if strict. */
  @ParameterizedTest
  @CsvSource({"true, 4500, true", "true, 4501, false", "false, 4501, true", "false, 60000, true"})
  void strictBoundsLimitTheAgeOfTheConfiguration(
      final boolean strict, final long ageMillis, final boolean served) {
    final AccessControl control = control(strict);
    time.advance(Duration.ofMillis(ageMillis));
    assertThat(
        rejection(control, "Bearer key-1"),
        is(served ? Optional.empty() : Optional.of(CONFIGURATION_TOO_OLD)));
  }

  /** Guards against a 401 for a key that the store holds and this daemon does not know yet. */
  @ParameterizedTest
  @CsvSource({
    "true, 3200, KEY_UNKNOWN",
    "false, 3200, KEY_UNKNOWN",
    "true, 3201, CONFIGURATION_TOO_OLD",
    "false, 3201, CONFIGURATION_TOO_OLD"
  })
  void unknownKeyIsNotRejectedForGoodByOldConfiguration(
      final boolean strict, final long ageMillis, final AccessRejection expected) {
    final AccessControl control = control(strict);
    time.advance(Duration.ofMillis(ageMillis));
    assertThat(rejection(control, "Bearer new"), is(Optional.of(expected)));
    control.confirm(ClockReading.of(time));
    assertThat(rejection(control, "Bearer new"), is(Optional.of(KEY_UNKNOWN)));
  }

  @Test
  void daemonThatHasJustStartedServesNoKey() {
    final AccessControl control = new AccessControl(time, new RevocationBounds(true, 5_000));
    assertThat(control.snapshot().isPresent(), is(false));
    control.configure(configuration(1, organisation("one", "key-1")));
    assertThat(rejection(control, "Bearer key-1"), is(Optional.of(CONFIGURATION_TOO_OLD)));
  }

  /** Guards against a suspension that a wall clock set back before it hides. */
  @Test
  void wallClockSetBackBeforeTheEvidenceMakesTheAgeUnknownUntilTheNextResponse() {
    final AtomicLong wallMillis = new AtomicLong(1_700_000_000_000L);
    final TimeSource clocks =
        new TimeSource() {
          @Override
          public long wallMillis() {
            return wallMillis.get();
          }

          @Override
          public long nanos() {
            return time.nanos();
          }
        };
    final AccessControl control = new AccessControl(clocks, new RevocationBounds(true, 5_000));
    control.configure(configuration(1, organisation("one", "key-1")));
    control.confirm(ClockReading.of(clocks));
    wallMillis.addAndGet(-3_000);
    assertThat(rejection(control, "Bearer key-1"), is(Optional.of(CONFIGURATION_TOO_OLD)));
    wallMillis.addAndGet(6_000);
    assertThat(rejection(control, "Bearer key-1"), is(Optional.of(CONFIGURATION_TOO_OLD)));
    control.confirm(ClockReading.of(clocks));
    assertThat(rejection(control, "Bearer key-1"), is(Optional.empty()));
  }

  @Test
  void snapshotKeepsItsConfigurationAndAge() {
    final AccessControl control = control(true);
    final AccessSnapshot before = control.snapshot().orElseThrow();
    control.configure(configuration(2, organisation("one", "key-2")));
    assertThat(before.decide(CLOSED, List.of("Bearer key-1")).rejection(), is(Optional.empty()));
    assertThat(rejection(control, "Bearer key-1"), is(Optional.of(KEY_UNKNOWN)));
  }

  @Test
  void callerSeesJobsOfItsOrganisationAndJobsWithoutOne() {
    assertThat(Caller.of("one").sees("one"), is(true));
    assertThat(Caller.of("one").sees(""), is(true));
    assertThat(Caller.of("one").sees("two"), is(false));
    assertThat(Caller.ANONYMOUS.sees("one"), is(false));
    assertThat(Caller.UNRESTRICTED.sees("one"), is(true));
  }

  private AccessControl control(final boolean strict) {
    final AccessControl control = new AccessControl(time, new RevocationBounds(strict, 5_000));
    control.configure(configuration(1, organisation("one", "key-1"), organisation("two", "key-2")));
    control.confirm(ClockReading.of(time));
    return control;
  }

  private static Optional<AccessRejection> rejection(
      final AccessControl control, final String... headers) {
    return decide(control, CLOSED, headers).rejection();
  }

  private static AccessDecision decide(
      final AccessControl control, final QueueSpec queue, final String... headers) {
    return control.snapshot().orElseThrow().decide(queue, List.of(headers));
  }

  private static JobConfiguration configuration(
      final long version, final Organisation... organisations) {
    return new JobConfiguration(
        version, List.of(CLOSED, OPEN), List.of(), 0, List.of(organisations));
  }

  private static Organisation organisation(final String name, final String... keys) {
    return new Organisation(name, List.of(keys), 0, new Resources(0, 0, 0));
  }

  private static QueueSpec queue(final boolean publicAccess) {
    return new QueueSpec("q", "h", "/q/", "s", 0, 3, 1.6, 600, false, publicAccess);
  }
}
