package org.lentilsail.standin.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import org.hamcrest.Matcher;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.lentilsail.standin.jobs.StoreOutage.Leader;
import org.lentilsail.standin.jobs.StoreOutage.Leases;

/**
 * Guards against leadership and starts of tasks that come back late after an outage of the store,
 * and against a takeover from a leader whose lease may still be valid. 250 workers, 400 waiting
 * jobs.
 */
class StoreOutageTest {
  private static final int DAEMONS = 12;

  /** Target in ms from the return of the store to the first start. */
  private static final long MAX_MILLIS_TO_START = 300;

  /** The same for a leader that continues: one interval of its renewals and three calls. */
  private static final long MAX_MILLIS_TO_CONTINUE = 60;

  /** Time to live of the leader lease in ms, and the part that may have passed at the fault. */
  private static final long LEASE_MILLIS = 1_200;

  private static final long RENEWAL_MILLIS = 300;

  /** Calls a second that the store serves for all daemons together. */
  private static final int MAX_WRITES = 1_200;

  private static final int MAX_READS = 6_000;

  private StoreOutage outage = new StoreOutage(DAEMONS);

  @AfterEach
  void noTaskRanTwice() {
    outage.deployment.closeAndCheckRuns();
  }

  @ParameterizedTest
  @CsvSource({
    "REFUSED, PAUSE, 6037",
    "REFUSED, PAUSE, 6148",
    "REFUSED, EXPIRE, 6148",
    "SILENT, PAUSE, 6037",
    "SILENT, EXPIRE, 6148"
  })
  void leaderContinuesWithItsStateAtOnce(
      final StoreFault fault, final Leases leases, final int millis) {
    outage.play(fault, Leader.ALIVE, leases, Duration.ofMillis(millis));
    assertThat(outage.millisToStart(), allOf(greaterThan(0L), atMost(MAX_MILLIS_TO_CONTINUE)));
  }

  @ParameterizedTest
  @CsvSource({
    "REFUSED, RESIGNED, PAUSE",
    "REFUSED, RESIGNED, EXPIRE",
    "REFUSED, KILLED, EXPIRE",
    "SILENT, RESIGNED, PAUSE",
    "SILENT, KILLED, EXPIRE"
  })
  void anotherDaemonTakesOverAtOnce(
      final StoreFault fault, final Leader leader, final Leases leases) {
    outage.play(fault, leader, leases, Duration.ofSeconds(6));
    assertThat(outage.millisToStart(), allOf(greaterThan(0L), atMost(MAX_MILLIS_TO_START)));
  }

  /** A paused lease of a leader that has not released it may be valid, so it has to end first. */
  @Test
  void pausedLeaseOfKilledLeaderEndsBeforeTakeover() {
    final String term = outage.term();
    outage.play(StoreFault.REFUSED, Leader.KILLED, Leases.PAUSE, Duration.ofSeconds(6));
    assertTakesOverAfterLease(term);
  }

  @ParameterizedTest
  @EnumSource(names = {"REFUSED", "SILENT"})
  void leaseOfLeaderThatStoreRejectsEndsBeforeTakeover(final StoreFault fault) {
    final String term = outage.term();
    outage.rejectLeader(fault);
    assertTakesOverAfterLease(term);
  }

  @ParameterizedTest
  @CsvSource({"REFUSED, EXPIRE", "SILENT, PAUSE"})
  void callsOfManyDaemonsStayWithinRatesOfStore(final StoreFault fault, final Leases leases) {
    outage.deployment.close();
    outage = new StoreOutage(40);
    outage.play(fault, Leader.KILLED, leases, Duration.ofSeconds(6));
    outage.deployment.advance(Duration.ofSeconds(3));
    assertThat(outage.maxCallsPerSecond(true), lessThanOrEqualTo(MAX_WRITES));
    assertThat(outage.maxCallsPerSecond(false), lessThanOrEqualTo(MAX_READS));
  }

  private void assertTakesOverAfterLease(final String term) {
    assertThat(
        outage.millisToClaim(term),
        allOf(
            greaterThanOrEqualTo(LEASE_MILLIS - RENEWAL_MILLIS),
            atMost(LEASE_MILLIS + MAX_MILLIS_TO_START)));
    assertThat(outage.millisToStart(), allOf(greaterThan(0L), atMost(MAX_MILLIS_TO_START)));
  }

  private static Matcher<Long> atMost(final long millis) {
    return lessThanOrEqualTo(millis);
  }
}
