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

/** Guards the rules by which slots are given. */
class ServiceDispatcherTest {
  /** One millisecond in ns. */
  private static final long MILLI = 1_000_000L;

  /** The dispatcher under test, with two workers in zones z1 and z2. */
  private final DispatcherFixture fixture = new DispatcherFixture(2);

  /** Guards against more than 8 requests on a worker, which would wait where nobody orders them. */
  @Test
  void givesEightSlotsPerWorkerAndNoMore() {
    fixture.ask(17, "/s");
    assertThat(fixture.granted.size(), is(16));
    assertThat(fixture.granted.values().stream().filter("w1"::equals).count(), is(8L));
    fixture.release(1);
    assertThat(fixture.granted.containsKey(17L), is(true));
  }

  /** Guards against a worker that has not proved that it works and gets several requests. */
  @Test
  void givesOneSlotToVerifyingAndNoneToDrainingWorkers() {
    fixture.dispatcher.putWorker("w1", "z1", WorkerMode.VERIFYING, 0);
    fixture.dispatcher.putWorker("w2", "z2", WorkerMode.DRAINING, 0);
    fixture.ask(3, "/s");
    assertThat(fixture.granted, is(Map.of(1L, "w1")));
    fixture.dispatcher.putWorker("w2", "z2", WorkerMode.OPEN, 0);
    assertThat(fixture.granted.get(2L), is("w2"));
  }

  /** Guards against refusals that are late when no worker is left. */
  @Test
  void refusesAtOnceWithoutUsableWorker() {
    fixture.dispatcher.removeWorker("w1", 0);
    fixture.submit(1, "/s", "", false, 1_000, Set.of("w2"));
    assertThat(fixture.refused.get(1L), is(RefusalReason.NO_WORKER));
  }

  /** Guards against a request that goes back to the worker that failed it, or goes on for ever. */
  @Test
  void avoidsWorkersThatFailedTheRequest() {
    fixture.submit(1, "/s", "", false, 1_000, Set.of("w1"));
    assertThat(fixture.granted.get(1L), is("w2"));
    fixture.submit(2, "/s", "", false, 1_000, Set.of("x", "y", "z"));
    assertThat(fixture.refused.get(2L), is(RefusalReason.STOPPED));
  }

  /** Guards against long work that holds every slot when short work arrives. */
  @Test
  void keepsSlotsFreeOfLongWork() {
    fixture.learn("/long", 5_000);
    fixture.ask(40, "/long");
    final int before = fixture.granted.size();
    assertThat(before, is(12));
    fixture.submit(100, "/s", "", false, 1_000, Set.of());
    assertThat(fixture.granted.containsKey(100L), is(true));
  }

  /** Guards against short work that waits behind long work in the queue. */
  @Test
  void startsShortWorkBeforeLongWork() {
    fixture.learn("/long", 5_000);
    fixture.ask(16, "/s");
    fixture.dispatcher.advance(800 * MILLI);
    fixture.submit(50, "/long", "", false, 60_000, Set.of());
    fixture.submit(51, "/s", "", false, 60_000, Set.of());
    fixture.release(1);
    assertThat(fixture.granted.containsKey(51L), is(true));
    assertThat(fixture.granted.containsKey(50L), is(false));
  }

  /** Guards against long work that starves while short work never stops waiting. */
  @Test
  void leavesLongWorkItsMinimum() {
    fixture.learn("/long", 5_000);
    fixture.ask(30, "/s");
    fixture.submit(50, "/long", "", false, 60_000, Set.of());
    fixture.release(1);
    assertThat(fixture.granted.containsKey(50L), is(true));
  }

  /** Guards against stragglers in the short class that leave long work its full share as well. */
  @Test
  void countsWorkThatOutlivesItsClassAsLong() {
    fixture.learn("/long", 5_000);
    fixture.ask(12, "/s");
    assertThat(fixture.dispatcher.statistics().longSlots(), is(0));
    fixture.now = 801 * MILLI;
    fixture.submit(50, "/long", "", false, 60_000, Set.of());
    assertThat(fixture.dispatcher.statistics().longSlots(), is(12));
    assertThat(fixture.granted.containsKey(50L), is(false));
  }

  /** Guards against declared run times that outweigh measured ones. */
  @Test
  void learnsRunTimesInSpiteOfDeclaredOnes() {
    fixture.submitDeclared(1, "/lie", 60_000);
    assertThat(fixture.dispatcher.statistics().longSlots(), is(1));
    fixture.learn("/lie", 10);
    fixture.submitDeclared(2, "/lie", 60_000);
    assertThat(fixture.dispatcher.statistics().longSlots(), is(1));
  }

  /** Guards against one straggler that sends a whole path to the long lane. */
  @Test
  void keepsPathShortAfterOneStraggler() {
    fixture.learn("/s", 20);
    fixture.submit(900, "/s", "", false, 60_000, Set.of());
    fixture.dispatcher.release(fixture.id(900), WorkerResult.OK, 60_000 * MILLI, 0);
    fixture.submit(901, "/s", "", false, 60_000, Set.of());
    assertThat(fixture.dispatcher.statistics().longSlots(), is(0));
  }

  /** Guards against a class that stays as it was when the work of a path changes. */
  @Test
  void followsPathWhoseRunTimesChange() {
    fixture.learn("/s", 20);
    fixture.learn("/s", 5_000);
    fixture.submit(900, "/s", "", false, 60_000, Set.of());
    assertThat(fixture.dispatcher.statistics().longSlots(), is(1));
  }

  /** Guards against urgent work that waits its turn. */
  @Test
  void startsUrgentWorkFirst() {
    fixture.ask(20, "/s");
    fixture.submit(50, "/s", "", true, 1_000, Set.of());
    fixture.release(1);
    assertThat(fixture.granted.containsKey(50L), is(true));
  }

  /** Guards against a team that takes all slots by asking more often than the others. */
  @Test
  void sharesSlotsByWeight() {
    fixture.configure(new DispatchSettings(200, 256, Map.of("a", 3, "b", 1)));
    fixture.ask(16, "/s");
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

  /** Guards against work that waits although it cannot start before its deadline. */
  @Test
  void refusesEarlyWhatCannotStartInTime() {
    fixture.learn("/s", 100);
    fixture.ask(16, "/s");
    for (int i = 0; i < 160; i++) {
      fixture.submit(100 + i, "/s", "", false, 60_000, Set.of());
    }
    fixture.submit(500, "/s", "", false, 900, Set.of());
    assertThat(fixture.refused.get(500L), is(RefusalReason.DEADLINE));
    fixture.submit(501, "/s", "", false, 1_500, Set.of());
    assertThat(fixture.refused.containsKey(501L), is(false));
  }

  /** Guards against demands that stay in the queue after their caller has stopped waiting. */
  @Test
  void refusesAtTheDeadline() {
    fixture.ask(16, "/s");
    fixture.submit(50, "/s", "", false, 30, Set.of());
    fixture.dispatcher.advance(31 * MILLI);
    assertThat(fixture.refused.get(50L), is(RefusalReason.DEADLINE));
    assertThat(fixture.dispatcher.takeLoad().queued(), is(0));
  }

  /** Guards against a queue without bound, and against one team that keeps the others out of it. */
  @Test
  void makesRoomAtTheCostOfTheTeamWithMost() {
    fixture.configure(new DispatchSettings(200, 10, Map.of()));
    fixture.ask(16, "/s");
    for (int i = 0; i < 10; i++) {
      fixture.submit(100 + i, "/s", "greedy", false, 60_000, Set.of());
    }
    fixture.submit(200, "/s", "modest", false, 60_000, Set.of());
    assertThat(fixture.refused, is(Map.of(109L, RefusalReason.QUEUE_FULL)));
    assertThat(fixture.dispatcher.takeLoad().queued(), is(10));
  }

  /** Guards against cancelled demands that keep their queue places. */
  @Test
  void freesQueuePlacesOfCancelledDemandsAtOnce() {
    fixture.ask(200, "/s");
    for (int i = 17; i <= 199; i++) {
      assertThat(fixture.dispatcher.cancel(fixture.id(i), 0), is(true));
    }
    fixture.release(1);
    assertThat(fixture.granted.containsKey(200L), is(true));
    assertThat(fixture.dispatcher.cancel(fixture.id(200), 0), is(false));
    assertThat(fixture.dispatcher.takeLoad().queued(), is(0));
  }

  /** Guards against slots that stay taken after the daemon that held them is gone. */
  @Test
  void freesSlotsAndPlacesOfDeadDaemon() {
    fixture.ask(20, "/s");
    fixture.dispatcher.releaseDaemon("d1", 0);
    assertThat(fixture.dispatcher.takeLoad().busySlots(), is(0));
    assertThat(fixture.dispatcher.takeLoad().queued(), is(0));
  }

  /** Guards against a new dispatcher that gives away slots which its predecessor has granted. */
  @Test
  void countsSlotsThatPeersReport() {
    for (int i = 1; i <= 8; i++) {
      fixture.dispatcher.adopt(fixture.demand(i, "/s", "", false, 0, Set.of()), "w1", 0, 0);
    }
    fixture.askFrom(101, 120, "/s");
    assertThat(fixture.granted.size(), is(8));
    assertThat(fixture.granted.containsValue("w1"), is(false));
    fixture.release(1);
    assertThat(fixture.granted.containsValue("w1"), is(true));
  }

  /** Guards against a lost grant that leaves its caller waiting while the slot stays taken. */
  @Test
  void repeatsGrantOfRepeatedDemand() {
    fixture.ask(1, "/s");
    fixture.granted.clear();
    fixture.ask(1, "/s");
    assertThat(fixture.granted.size(), is(1));
    assertThat(fixture.dispatcher.takeLoad().busySlots(), is(1));
  }

  /** Guards against a slot that stays taken because its release was lost. */
  @Test
  void freesSlotsThatTheDaemonDoesNotReport() {
    fixture.ask(2, "/s");
    fixture.dispatcher.reconcile("d1", Set.of(fixture.id(1)), 1_000 * MILLI);
    assertThat(fixture.dispatcher.takeLoad().busySlots(), is(2));
    fixture.dispatcher.reconcile("d1", Set.of(fixture.id(1)), 2_001 * MILLI);
    assertThat(fixture.dispatcher.takeLoad().busySlots(), is(1));
  }

  /** Guards against calls to another zone when a worker in the caller's zone is as free. */
  @Test
  void prefersTheCallersZoneWhenEquallyGood() {
    fixture.dispatcher.putWorker("w3", "z1", WorkerMode.OPEN, 0);
    fixture.ask(2, "/s");
    assertThat(Set.copyOf(fixture.granted.values()), is(Set.of("w1", "w3")));
    fixture.ask(3, "/s");
    assertThat(fixture.granted.get(3L), is("w2"));
  }

  /** Guards against a worker that fails everything and so always has free slots. */
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
    fixture.askFrom(10, 20, "/s");
    assertThat(fixture.granted.containsValue("w1"), is(false));
    fixture.dispatcher.advance(1_000 * MILLI);
    final List<Long> trial =
        fixture.granted.entrySet().stream()
            .filter(entry -> entry.getValue().equals("w1"))
            .map(Map.Entry::getKey)
            .toList();
    assertThat(trial.size(), is(1));
    fixture.dispatcher.release(fixture.id(trial.get(0)), WorkerResult.OK, 1, 1_000 * MILLI);
    assertThat(fixture.dispatcher.unhealthyVms(), is(empty()));
  }

  /**
   * Guards against a cut-off zone that keeps sending to the most workers, which it cannot reach.
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
    fixture.askFrom(10, 17, "/s");
    assertThat(Set.copyOf(fixture.granted.values()), is(Set.of("w3")));
    fixture.askFrom(18, 18, "/s");
    assertThat(fixture.granted.size(), is(9));
  }

  /** Guards against long work that fills the slots which a peak of short work needs. */
  @Test
  void leavesShortWorkTheSlotsThatItsArrivalsNeed() {
    fixture.learn("/long", 5_000);
    for (int i = 0; i < 300; i++) {
      fixture.now += 10 * MILLI;
      fixture.submit(1_000 + i, "/s", "", false, 60_000, Set.of());
      fixture.dispatcher.release(fixture.id(1_000 + i), WorkerResult.OK, 50 * MILLI, fixture.now);
    }
    fixture.askFrom(200, 240, "/long");
    assertThat((int) fixture.startedBetween(200, 240), lessThanOrEqualTo(6));
    fixture.now += 5_000 * MILLI;
    fixture.submit(300, "/long", "", false, 60_000, Set.of());
    assertThat((int) fixture.startedBetween(200, 300), greaterThan(6));
  }

  /** Guards against memory that grows with every identifier in a path. */
  @Test
  void boundsTheLearnedRunTimes() {
    final RunTimeEstimator times = new RunTimeEstimator();
    final DispatchSettings settings = new DispatchSettings(200, 1, Map.of());
    for (int i = 0; i < 10_000; i++) {
      times.learn("/bills/" + i, "", 0, MILLI, settings);
    }
    assertThat(times.size(), is(2));
    for (int i = 0; i < 10_000; i++) {
      final String letters = i / 676 % 26 + "," + i / 26 % 26 + "," + i % 26;
      final String path =
          new String(letters.chars().map(c -> c + 'A').toArray(), 0, letters.length());
      times.learn("/x" + path, "", 0, MILLI, settings);
    }
    assertThat(times.size(), lessThanOrEqualTo(4_096));
    assertThat(times.size(), greaterThan(2));
  }
}
