package org.lentilsail.policy.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the rules by which slots are granted. */
class ServiceDispatcherTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** The dispatcher under test, with two workers in zones z1 and z2. */
  private final DispatcherFixture fixture = new DispatcherFixture(2);

  /** Guards against more than 8 requests on a worker, which would wait there without any order. */
  @Test
  void givesEightSlotsPerWorkerAndNoMore() {
    fixture.submitMany(17, "/s");
    assertThat(fixture.granted.size(), is(16));
    assertThat(fixture.granted.values().stream().filter("w1"::equals).count(), is(8L));
    fixture.release(1);
    assertThat(fixture.granted.containsKey(17L), is(true));
  }

  /**
   * Guards against several concurrent requests on a worker that is not verified, and against new
   * requests on one that drains.
   */
  @Test
  void givesOneSlotToVerifyingAndNoneToDrainingWorkers() {
    fixture.dispatcher.putWorker("w1", "z1", WorkerMode.VERIFYING, 0);
    fixture.dispatcher.putWorker("w2", "z2", WorkerMode.DRAINING, 0);
    fixture.submitMany(3, "/s");
    assertThat(fixture.granted, is(Map.of(1L, "w1")));
    fixture.dispatcher.putWorker("w2", "z2", WorkerMode.OPEN, 0);
    assertThat(fixture.granted.get(2L), is("w2"));
  }

  /** Guards against delayed refusals when no worker is left. */
  @Test
  void refusesAtOnceWithoutUsableWorker() {
    fixture.dispatcher.removeWorker("w1", 0);
    fixture.submit(1, "/s", "", false, 1_000, Set.of("w2"));
    assertThat(fixture.refused.get(1L), is(RefusalReason.NO_WORKER));
  }

  /**
   * Guards against a request that is retried on a worker where it failed, or retried without limit.
   */
  @Test
  void avoidsWorkersThatFailedTheRequest() {
    fixture.submit(1, "/s", "", false, 1_000, Set.of("w1"));
    assertThat(fixture.granted.get(1L), is("w2"));
    fixture.submit(2, "/s", "", false, 1_000, Set.of("x", "y", "z"));
    assertThat(fixture.refused.get(2L), is(RefusalReason.STOPPED));
  }

  /** Guards against long work that occupies every slot when short work arrives. */
  @Test
  void keepsSlotsFreeOfLongWork() {
    fixture.learn("/long", 5_000);
    fixture.submitMany(40, "/long");
    final int before = fixture.granted.size();
    assertThat(before, is(12));
    fixture.submit(100, "/s", "", false, 1_000, Set.of());
    assertThat(fixture.granted.containsKey(100L), is(true));
  }

  /** Guards against short work that waits behind long work in the queue. */
  @Test
  void startsShortWorkBeforeLongWork() {
    fixture.learn("/long", 5_000);
    fixture.submitMany(16, "/s");
    fixture.dispatcher.advance(800 * NANOS_PER_MILLI);
    fixture.submit(50, "/long", "", false, 60_000, Set.of());
    fixture.submit(51, "/s", "", false, 60_000, Set.of());
    fixture.release(1);
    assertThat(fixture.granted.containsKey(51L), is(true));
    assertThat(fixture.granted.containsKey(50L), is(false));
  }

  /** Guards against starvation of long work while short work is always queued. */
  @Test
  void leavesLongWorkItsMinimum() {
    fixture.learn("/long", 5_000);
    fixture.submitMany(30, "/s");
    fixture.submit(50, "/long", "", false, 60_000, Set.of());
    fixture.release(1);
    assertThat(fixture.granted.containsKey(50L), is(true));
  }

  /** Guards against long-running requests of the short class that are not counted as long work. */
  @Test
  void countsWorkThatOutlivesItsClassAsLong() {
    fixture.learn("/long", 5_000);
    fixture.submitMany(12, "/s");
    assertThat(fixture.dispatcher.statistics().longSlots(), is(0));
    fixture.nowNanos = 801 * NANOS_PER_MILLI;
    fixture.submit(50, "/long", "", false, 60_000, Set.of());
    assertThat(fixture.dispatcher.statistics().longSlots(), is(12));
    assertThat(fixture.granted.containsKey(50L), is(false));
  }

  /** Guards against declared run times that take precedence over measured ones. */
  @Test
  void learnsRunTimesDespiteDeclaredOnes() {
    fixture.submitDeclared(1, "/lie", 60_000);
    assertThat(fixture.dispatcher.statistics().longSlots(), is(1));
    fixture.learn("/lie", 10);
    fixture.submitDeclared(2, "/lie", 60_000);
    assertThat(fixture.dispatcher.statistics().longSlots(), is(1));
  }

  /** Guards against a single outlier that makes all requests of a path count as long work. */
  @Test
  void keepsPathShortAfterOneOutlier() {
    fixture.learn("/s", 20);
    fixture.submit(900, "/s", "", false, 60_000, Set.of());
    fixture.dispatcher.release(fixture.id(900), WorkerResult.OK, 60_000 * NANOS_PER_MILLI, 0);
    fixture.submit(901, "/s", "", false, 60_000, Set.of());
    assertThat(fixture.dispatcher.statistics().longSlots(), is(0));
  }

  /** Guards against a class of work that does not follow changed run times of a path. */
  @Test
  void followsPathWhoseRunTimesChange() {
    fixture.learn("/s", 20);
    fixture.learn("/s", 5_000);
    fixture.submit(900, "/s", "", false, 60_000, Set.of());
    assertThat(fixture.dispatcher.statistics().longSlots(), is(1));
  }

  /** Guards against urgent requests that wait behind others. */
  @Test
  void startsUrgentWorkFirst() {
    fixture.submitMany(20, "/s");
    fixture.submit(50, "/s", "", true, 1_000, Set.of());
    fixture.release(1);
    assertThat(fixture.granted.containsKey(50L), is(true));
  }

  /** Guards against a team that gets all slots by sending more requests than the others. */
  @Test
  void sharesSlotsByWeight() {
    fixture.configure(new DispatchSettings(200, 256, Map.of("a", 3, "b", 1)));
    fixture.submitMany(16, "/s");
    for (int i = 0; i < 100; i++) {
      fixture.submit(100 + i, "/s", "a", false, 60_000, Set.of());
    }
    for (int i = 0; i < 100; i++) {
      fixture.submit(200 + i, "/s", "b", false, 60_000, Set.of());
    }
    for (int i = 1; i <= 16; i++) {
      fixture.release(i);
    }
    assertThat(fixture.startedBetween(100, 199), is(12L));
    assertThat(fixture.startedBetween(200, 299), is(4L));
  }

  /** Guards against queueing of requests that cannot start before their deadline. */
  @Test
  void refusesEarlyWhatCannotStartInTime() {
    fixture.learn("/s", 100);
    fixture.submitMany(16, "/s");
    for (int i = 0; i < 160; i++) {
      fixture.submit(100 + i, "/s", "", false, 60_000, Set.of());
    }
    fixture.submit(500, "/s", "", false, 900, Set.of());
    assertThat(fixture.refused.get(500L), is(RefusalReason.DEADLINE));
    fixture.submit(501, "/s", "", false, 1_500, Set.of());
    assertThat(fixture.refused.containsKey(501L), is(false));
  }

  /** Guards against requests that stay queued after their deadline. */
  @Test
  void refusesAtTheDeadline() {
    fixture.submitMany(16, "/s");
    fixture.submit(50, "/s", "", false, 30, Set.of());
    fixture.dispatcher.advance(31 * NANOS_PER_MILLI);
    assertThat(fixture.refused.get(50L), is(RefusalReason.DEADLINE));
    assertThat(fixture.dispatcher.takeLoad().queued(), is(0));
  }

  /** Guards against an unbounded queue, and against one team that keeps the others out of it. */
  @Test
  void evictsFromTheTeamWithMostRequests() {
    fixture.configure(new DispatchSettings(200, 10, Map.of()));
    fixture.submitMany(16, "/s");
    for (int i = 0; i < 10; i++) {
      fixture.submit(100 + i, "/s", "greedy", false, 60_000, Set.of());
    }
    fixture.submit(200, "/s", "modest", false, 60_000, Set.of());
    assertThat(fixture.refused, is(Map.of(109L, RefusalReason.QUEUE_FULL)));
    assertThat(fixture.dispatcher.takeLoad().queued(), is(10));
  }

  /** Guards against cancelled requests that stay queued. */
  @Test
  void removesCancelledRequestsAtOnce() {
    fixture.submitMany(200, "/s");
    for (int i = 17; i <= 199; i++) {
      assertThat(fixture.dispatcher.cancel(fixture.id(i), 0), is(true));
    }
    fixture.release(1);
    assertThat(fixture.granted.containsKey(200L), is(true));
    assertThat(fixture.dispatcher.cancel(fixture.id(200), 0), is(false));
    assertThat(fixture.dispatcher.takeLoad().queued(), is(0));
  }

  /** Guards against slots that stay occupied after the daemon that held them is gone. */
  @Test
  void releasesSlotsAndQueuedRequestsOfDeadDaemon() {
    fixture.submitMany(20, "/s");
    fixture.dispatcher.releaseDaemon("d1", 0);
    assertThat(fixture.dispatcher.takeLoad().busySlots(), is(0));
    assertThat(fixture.dispatcher.takeLoad().queued(), is(0));
  }

  /**
   * Guards against a new dispatcher that grants slots which its predecessor has already granted.
   */
  @Test
  void countsSlotsThatPeersReport() {
    for (int i = 1; i <= 8; i++) {
      fixture.dispatcher.adopt(fixture.request(i, "/s", "", false, 0, Set.of()), "w1", 0, 0);
    }
    fixture.submitRange(101, 120, "/s");
    assertThat(fixture.granted.size(), is(8));
    assertThat(fixture.granted.containsValue("w1"), is(false));
    fixture.release(1);
    assertThat(fixture.granted.containsValue("w1"), is(true));
  }

  /**
   * Guards against a lost grant message, which would leave the caller waiting while its slot is
   * occupied.
   */
  @Test
  void repeatsGrantOfRepeatedRequest() {
    fixture.submitMany(1, "/s");
    fixture.granted.clear();
    fixture.submitMany(1, "/s");
    assertThat(fixture.granted.size(), is(1));
    assertThat(fixture.dispatcher.takeLoad().busySlots(), is(1));
  }

  /** Guards against a slot that stays occupied because its release message was lost. */
  @Test
  void releasesSlotsThatTheDaemonDoesNotReport() {
    fixture.submitMany(2, "/s");
    fixture.dispatcher.reconcile("d1", Set.of(fixture.id(1)), 1_000 * NANOS_PER_MILLI);
    assertThat(fixture.dispatcher.takeLoad().busySlots(), is(2));
    fixture.dispatcher.reconcile("d1", Set.of(fixture.id(1)), 2_001 * NANOS_PER_MILLI);
    assertThat(fixture.dispatcher.takeLoad().busySlots(), is(1));
  }

  /**
   * Guards against requests to another zone when a worker in the caller's zone has as many free
   * slots.
   */
  @Test
  void prefersTheCallersZoneWhenEquallyGood() {
    fixture.dispatcher.putWorker("w3", "z1", WorkerMode.OPEN, 0);
    fixture.submitMany(2, "/s");
    assertThat(Set.copyOf(fixture.granted.values()), is(Set.of("w1", "w3")));
    fixture.submitMany(3, "/s");
    assertThat(fixture.granted.get(3L), is("w2"));
  }

  /** Guards against a worker that fails every request and therefore always has free slots. */
  @Test
  void withdrawsWorkerThatFailsEverything() {
    fixture.dispatcher.removeWorker("w2", 0);
    fixture.dispatcher.putWorker("w2", "z2", WorkerMode.OPEN, 0);
    for (int i = 1; i <= 3; i++) {
      fixture.submit(i, "/s", "", false, 1_000, Set.of("w2"));
      fixture.dispatcher.release(fixture.id(i), WorkerResult.FAILED, 1, 0);
    }
    assertThat(fixture.dispatcher.unhealthyVms(), contains("w1"));
    fixture.granted.clear();
    fixture.submitRange(10, 20, "/s");
    assertThat(fixture.granted.containsValue("w1"), is(false));
    fixture.dispatcher.advance(1_000 * NANOS_PER_MILLI);
    final List<Long> trial =
        fixture.granted.entrySet().stream()
            .filter(entry -> entry.getValue().equals("w1"))
            .map(Map.Entry::getKey)
            .toList();
    assertThat(trial.size(), is(1));
    fixture.dispatcher.release(
        fixture.id(trial.get(0)), WorkerResult.OK, 1, 1_000 * NANOS_PER_MILLI);
    assertThat(fixture.dispatcher.unhealthyVms(), is(empty()));
  }

  /**
   * Guards against an unreachable zone whose daemons prefer the workers that they cannot reach,
   * because those are the majority.
   */
  @Test
  void usesFailingWorkersLastWhenTheCauseIsShared() {
    fixture.dispatcher.putWorker("w3", "z1", WorkerMode.OPEN, 0);
    for (int i = 1; i <= 6; i++) {
      fixture.submit(i, "/s", "", false, 1_000, Set.of(i <= 3 ? "w2" : "w1", "w3"));
      fixture.dispatcher.release(fixture.id(i), WorkerResult.FAILED, 1, 0);
    }
    assertThat(fixture.dispatcher.unhealthyVms(), is(empty()));
    fixture.granted.clear();
    fixture.submitRange(10, 17, "/s");
    assertThat(Set.copyOf(fixture.granted.values()), is(Set.of("w3")));
    fixture.submitRange(18, 18, "/s");
    assertThat(fixture.granted.size(), is(9));
  }

  /** Guards against long work that occupies the slots needed by a peak of short work. */
  @Test
  void leavesShortWorkTheSlotsThatItsArrivalsNeed() {
    fixture.learn("/long", 5_000);
    for (int i = 0; i < 300; i++) {
      fixture.nowNanos += 10 * NANOS_PER_MILLI;
      fixture.submit(1_000 + i, "/s", "", false, 60_000, Set.of());
      fixture.dispatcher.release(
          fixture.id(1_000 + i), WorkerResult.OK, 50 * NANOS_PER_MILLI, fixture.nowNanos);
    }
    fixture.submitRange(200, 240, "/long");
    assertThat((int) fixture.startedBetween(200, 240), lessThanOrEqualTo(6));
    fixture.nowNanos += 5_000 * NANOS_PER_MILLI;
    fixture.submit(300, "/long", "", false, 60_000, Set.of());
    assertThat((int) fixture.startedBetween(200, 300), greaterThan(6));
  }

  /** Guards against memory use that grows with each identifier in a path. */
  @Test
  void boundsTheLearnedRunTimes() {
    final RunTimeEstimator times = new RunTimeEstimator();
    final DispatchSettings settings = new DispatchSettings(200, 1, Map.of());
    for (int i = 0; i < 10_000; i++) {
      times.learn("/bills/" + i, "", 0, NANOS_PER_MILLI, settings);
    }
    assertThat(times.size(), is(2));
    for (int i = 0; i < 10_000; i++) {
      final String letters = i / 676 % 26 + "," + i / 26 % 26 + "," + i % 26;
      final String path =
          new String(letters.chars().map(c -> c + 'A').toArray(), 0, letters.length());
      times.learn("/x" + path, "", 0, NANOS_PER_MILLI, settings);
    }
    assertThat(times.size(), lessThanOrEqualTo(4_096));
    assertThat(times.size(), greaterThan(2));
  }
}
