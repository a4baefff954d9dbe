package org.lentilsail.jobs;

import static org.lentilsail.concurrent.Callbacks.logged;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.lentilsail.model.job.Machine;
import org.lentilsail.model.job.MachineState;
import org.lentilsail.policy.job.MachineInventory;
import org.lentilsail.store.StoredItem;

/**
 * Records in the store that a command to a machine is pending, before the command is sent. A
 * network partition can delay a command by seconds, so that it is executed when another daemon is
 * already the leader. The next leader therefore sends no commands to machines with an unconfirmed
 * command until a time limit has passed, nor to machines with a recently confirmed command until
 * the lease of the earlier leader has expired. Confined to the control thread.
 */
final class MachineCommands {
  /** Time in ns for which an unconfirmed command may still be executed. */
  private static final long UNCONFIRMED_NANOS = 15_000_000_000L;

  /** Minimum time in ns between writes that only remove machines. */
  private static final long CLEANUP_INTERVAL_NANOS = 1_000_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final ControlContext context;
  private final LeaderItems items;
  private final Map<String, String> pending = new HashMap<>();
  private final Map<String, BlockedMachine> blocked = new HashMap<>();
  private final List<QueuedCommand> waiting = new ArrayList<>();
  private final Map<String, Long> confirmedAt = new HashMap<>();
  private MachineCommandsDocument persisted = new MachineCommandsDocument(Map.of(), List.of());
  private boolean writeInFlight;

  /**
   * Monotonic time in ns of the last write. The initial value lies before any monotonic time and
   * does not overflow in differences.
   */
  private long writtenAt = Long.MIN_VALUE / 2;

  /**
   * A command that waits for its record to be persisted.
   *
   * @param machine id of the machine
   * @param send sends the command
   * @param cancel cancels the command
   */
  private record QueuedCommand(String machine, Runnable send, Runnable cancel) {}

  /**
   * A machine that must not receive commands.
   *
   * @param worker worker that the command terminates, empty for none or if the command was
   *     confirmed
   * @param since monotonic time in ns after which a machine list shows whether the command was
   *     executed
   * @param until monotonic time in ns at which the block ends in any case
   * @param leaseUntil monotonic time in ns before which the block does not end
   */
  private record BlockedMachine(String worker, long since, long until, long leaseUntil) {
    /** Returns whether the machine list shows that the command was executed. */
    boolean isExecuted(final Machine machine, final long requestedAt) {
      return requestedAt > since
          && machine != null
          && !worker.isEmpty()
          && (machine.state() != MachineState.UP || !machine.worker().equals(worker));
    }
  }

  MachineCommands(final ControlContext context, final LeaderItems items) {
    this.context = context;
    this.items = items;
  }

  /** Restores the commands of an earlier leader. */
  void restore(final Optional<StoredItem> item, final long claimedAt) {
    final long lease = claimedAt + leaseNanos();
    item.flatMap(
            found -> Documents.<MachineCommandsDocument>read(Documents.MACHINE_COMMANDS, found))
        .ifPresent(
            document -> {
              document
                  .answered()
                  .forEach(id -> blocked.put(id, new BlockedMachine("", claimedAt, lease, lease)));
              document
                  .unanswered()
                  .forEach(
                      (id, worker) ->
                          blocked.put(
                              id,
                              new BlockedMachine(
                                  worker, claimedAt, claimedAt + UNCONFIRMED_NANOS, lease)));
            });
  }

  /**
   * Marks a machine as having a pending command; returns false if it already has one or is blocked.
   */
  boolean begin(final Machine machine) {
    return !blocked.containsKey(machine.id())
        && pending.putIfAbsent(machine.id(), machine.worker()) == null;
  }

  /** Sends the pending command of a machine once its record is persisted. */
  void send(final String machine, final Runnable send, final Runnable cancel) {
    waiting.add(new QueuedCommand(machine, send, cancel));
  }

  /** Ends the pending command of a machine; an unconfirmed one blocks the machine. */
  void end(final String machine, final boolean confirmed) {
    final String worker = pending.remove(machine);
    final long now = context.time().nanos();
    if (confirmed) {
      confirmedAt.put(machine, now);
    } else {
      blocked.put(
          machine,
          new BlockedMachine(worker == null ? "" : worker, now, now + UNCONFIRMED_NANOS, now));
    }
  }

  /** Returns the machines that must not receive commands now. */
  Set<String> reserved() {
    final Set<String> reserved = new HashSet<>(pending.keySet());
    reserved.addAll(blocked.keySet());
    return reserved;
  }

  /** Returns the machines with commands that may still be executed. */
  Set<String> blocked() {
    return Set.copyOf(blocked.keySet());
  }

  void tick(final long now, final MachineInventory machines) {
    blocked
        .entrySet()
        .removeIf(
            entry ->
                now >= entry.getValue().until()
                    || now >= entry.getValue().leaseUntil()
                        && entry
                            .getValue()
                            .isExecuted(machines.machine(entry.getKey()), machines.requestedAt()));
    confirmedAt.values().removeIf(at -> now - at >= leaseNanos());
    final boolean outdated =
        now - writtenAt >= CLEANUP_INTERVAL_NANOS && !persisted.equals(document());
    if (!writeInFlight && (!waiting.isEmpty() || outdated)) {
      write(now);
    }
  }

  private MachineCommandsDocument document() {
    final Map<String, String> unanswered = new TreeMap<>(pending);
    blocked.forEach((id, command) -> unanswered.put(id, command.worker()));
    final Set<String> answered = new TreeSet<>(confirmedAt.keySet());
    answered.removeAll(unanswered.keySet());
    return new MachineCommandsDocument(unanswered, List.copyOf(answered));
  }

  private long leaseNanos() {
    return context.bounds().machineLeaseMillis() * NANOS_PER_MILLI;
  }

  private void write(final long now) {
    writeInFlight = true;
    writtenAt = now;
    final List<QueuedCommand> recorded = List.copyOf(waiting);
    waiting.clear();
    final MachineCommandsDocument document = document();
    context
        .store()
        .commit(
            items.write(
                items.newTransaction(), StoreKeys.MACHINE_COMMANDS, Documents.write(document)))
        .whenCompleteAsync(
            logged(
                (result, failure) -> {
                  writeInFlight = false;
                  final boolean applied =
                      failure == null
                          && items.handleResult(result, List.of(StoreKeys.MACHINE_COMMANDS))
                              == LeaderItems.WriteOutcome.APPLIED;
                  if (applied) {
                    persisted = document;
                  }
                  recorded.forEach(command -> (applied ? command.send() : command.cancel()).run());
                }),
            context.executor());
  }
}
