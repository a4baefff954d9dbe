package org.lentilsail.policy.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lentilsail.model.job.Machine;
import org.lentilsail.model.job.MachineState;
import org.lentilsail.model.job.Resources;
import org.lentilsail.model.job.WorkerEntry;

/** Guards against workers that are taken for ended because a list lacks their machine. */
class WorkerHostsTest {
  private static final long START = 7;

  private final WorkerHosts hosts = new WorkerHosts();

  @BeforeEach
  void showWorkerOnce() {
    hosts.update(list(machine("m1", "booking", MachineState.UP, "w1")), WorkerHostsTest::startTime);
  }

  @ParameterizedTest
  @CsvSource({
    "m1, booking, UP, w1, false",
    "m1, booking, UP, '', false",
    "m2, booking, UP, w2, false",
    "m1, booking, UP, w2, true",
    "m1, spare, UP, '', true",
    "m1, booking, DOWN, '', true",
    "m1, booking, DOWN, w1, true",
    "m1, starter, MOVING, w1, true",
    "m1, booking, UPKEEP, w2, true"
  })
  void onlyRowOfItsMachineShowsThatWorkerHasEnded(
      final String id,
      final String pool,
      final MachineState state,
      final String worker,
      final boolean ended) {
    final MachineInventory later = list(machine(id, pool, state, worker));
    hosts.update(later, WorkerHostsTest::startTime);
    assertThat(hosts.hasEnded(entry("w1", START)), is(ended));
    assertThat(hosts.hasEnded(entry("never seen", START)), is(false));
  }

  /** Two pages may show a machine before and after a change of its worker. */
  @Test
  void workerThatAnotherRowShowsHasNotEnded() {
    final MachineInventory later =
        list(
            machine("m1", "booking", MachineState.UP, "w2"),
            machine("m2", "booking", MachineState.UP, "w1"));
    hosts.update(later, WorkerHostsTest::startTime);
    assertThat(hosts.hasEnded(entry("w1", START)), is(false));
  }

  @Test
  void unknownWorkerIsForgottenAndKnownOneIsKept() {
    final MachineInventory later = list(machine("m1", "booking", MachineState.UP, "w2"));
    hosts.update(later, WorkerHostsTest::startTime);
    assertThat(hosts.hasEnded(entry("w1", START)), is(true));
    hosts.update(later, worker -> -1);
    assertThat(hosts.hasEnded(entry("w1", START)), is(false));
  }

  /** A worker may start again under its id on another machine, which no list has shown yet. */
  @Test
  void machineOfEarlierIncarnationTellsNothingOfLaterOne() {
    hosts.update(list(machine("m1", "booking", MachineState.DOWN, "")), WorkerHostsTest::startTime);
    assertThat(hosts.hasEnded(entry("w1", START)), is(true));
    assertThat(hosts.hasEnded(entry("w1", START + 1)), is(false));
  }

  private static long startTime(final String worker) {
    return worker.equals("w1") ? START : -1;
  }

  private static WorkerEntry entry(final String id, final long startTime) {
    return new WorkerEntry(
        id,
        "booking",
        InetSocketAddress.createUnresolved("10.0.0.1", 80),
        "north",
        false,
        new Resources(1_000, 1_000, 0),
        List.of(),
        startTime);
  }

  private static MachineInventory list(final Machine... machines) {
    final MachineInventory inventory = new MachineInventory();
    inventory.replace(List.of(machines), 1);
    return inventory;
  }

  private static Machine machine(
      final String id, final String pool, final MachineState state, final String worker) {
    return new Machine(id, pool, state, "north", List.of(), new Resources(1_000, 1_000, 0), worker);
  }
}
