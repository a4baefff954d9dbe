package org.lentilsail.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
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
  private final BooleanSupplier isLeader;
  private final Map<String, String> pending = new HashMap<>();
  private final Map<String, BlockedMachine> blocked = new HashMap<>();
  private final Map<String, RepeatableCommand> repeatable = new HashMap<>();
  private final List<QueuedCommand> waiting = new ArrayList<>();
  private final Map<String, Long> confirmedAt = new HashMap<>();
  private MachineCommandsDocument persisted = MachineCommandsDocument.empty();
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
   * @param confirmed whether the command was confirmed
   * @param since monotonic time in ns after which a machine list shows whether the command was
   *     executed
   * @param until monotonic time in ns at which the block ends in any case
   * @param leaseUntil monotonic time in ns before which the block does not end
   */
  private record BlockedMachine(
      String worker, boolean confirmed, long since, long until, long leaseUntil) {
    /** Returns whether the machine list shows that the command was executed. */
    boolean isExecuted(final Machine machine, final long requestedAt) {
      return requestedAt > since
          && machine != null
          && !worker.isEmpty()
          && (machine.state() != MachineState.UP || !machine.worker().equals(worker));
    }
  }

  /**
   * A command of unknown outcome that this leader may repeat, since it has the same effect twice.
   * For the next leader it is unconfirmed.
   *
   * @param worker worker that the command terminates, empty for none
   * @param until monotonic time in ns after which the command is not executed any more
   */
  private record RepeatableCommand(String worker, long until) {}

  MachineCommands(
      final ControlContext context, final LeaderItems items, final BooleanSupplier isLeader) {
    this.context = context;
    this.items = items;
    this.isLeader = isLeader;
  }

  /** Restores the commands of an earlier leader. */
  void restore(final Optional<StoredItem> item, final long claimedAt) {
    item.flatMap(
            found -> Documents.<MachineCommandsDocument>read(Documents.MACHINE_COMMANDS, found))
        .ifPresent(
            document -> {
              document
                  .answered()
                  .forEach(
                      id -> {
                        final long until = claimedAt + remaining(document, id, leaseNanos());
                        blocked.put(id, new BlockedMachine("", true, claimedAt, until, until));
                      });
              document
                  .unanswered()
                  .forEach(
                      (id, worker) ->
                          blocked.put(
                              id,
                              new BlockedMachine(
                                  worker,
                                  false,
                                  claimedAt,
                                  claimedAt + remaining(document, id, UNCONFIRMED_NANOS),
                                  claimedAt + leaseNanos())));
            });
  }

  /**
   * Returns for how many ns a machine stays blocked; a document without the time has the longest.
   */
  private static long remaining(
      final MachineCommandsDocument document, final String machine, final long maxNanos) {
    final Long millis = document.remainingMillis().get(machine);
    return millis == null
        ? maxNanos
        : Math.min(Math.max(millis, 0), maxNanos / NANOS_PER_MILLI) * NANOS_PER_MILLI;
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
          new BlockedMachine(
              worker == null ? "" : worker, false, now, now + UNCONFIRMED_NANOS, now));
    }
  }

  /** Ends a pending command of unknown outcome that this leader is going to repeat. */
  void endRepeatable(final String machine) {
    final String worker = pending.remove(machine);
    repeatable.put(
        machine,
        new RepeatableCommand(
            worker == null ? "" : worker, context.time().nanos() + UNCONFIRMED_NANOS));
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
    repeatable.values().removeIf(command -> now >= command.until());
    final boolean outdated =
        now - writtenAt >= CLEANUP_INTERVAL_NANOS && !persisted.hasSameMachines(document());
    if (!writeInFlight && (!waiting.isEmpty() || outdated)) {
      write(now);
    }
  }

  private MachineCommandsDocument document() {
    final long now = context.time().nanos();
    final Map<String, String> unanswered = new TreeMap<>();
    final Set<String> answered = new TreeSet<>();
    final Map<String, Long> remaining = new TreeMap<>();
    confirmedAt.forEach(
        (id, at) -> {
          answered.add(id);
          remaining.put(id, millis(at + leaseNanos() - now));
        });
    blocked.forEach(
        (id, command) -> {
          if (command.confirmed()) {
            answered.add(id);
          } else {
            unanswered.put(id, command.worker());
          }
          remaining.put(id, millis(command.until() - now));
        });
    repeatable.forEach(
        (id, command) -> {
          unanswered.put(id, command.worker());
          remaining.put(id, millis(command.until() - now));
        });
    pending.forEach(
        (id, worker) -> {
          unanswered.put(id, worker);
          remaining.put(id, millis(UNCONFIRMED_NANOS));
        });
    answered.removeAll(unanswered.keySet());
    return new MachineCommandsDocument(unanswered, List.copyOf(answered), remaining);
  }

  /** Converts a time in ns to ms, rounded up. */
  private static long millis(final long nanos) {
    return (nanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI;
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
    items.commit(
        context,
        items.write(items.newTransaction(), StoreKeys.MACHINE_COMMANDS, Documents.write(document)),
        List.of(StoreKeys.MACHINE_COMMANDS),
        (outcome, reason) -> {
          writeInFlight = false;
          final boolean applied = outcome == LeaderItems.WriteOutcome.APPLIED;
          if (applied) {
            persisted = document;
          }
          // The process may have been paused since the transaction was sent.
          final boolean send = applied && isLeader.getAsBoolean();
          recorded.forEach(command -> (send ? command.send() : command.cancel()).run());
        });
  }
}
