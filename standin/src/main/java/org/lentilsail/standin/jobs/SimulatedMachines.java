package org.lentilsail.standin.jobs;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.lentilsail.model.job.Machine;
import org.lentilsail.worker.MachineClient;
import org.lentilsail.worker.MachineCommandResult;

/** Simulates the machines of the platform and records the commands that they receive. */
public final class SimulatedMachines {
  private final Map<String, Machine> machines = new LinkedHashMap<>();
  private final Set<String> omitted = new HashSet<>();
  private final List<RecordedCommand> commands = new ArrayList<>();

  /**
   * A command that a machine has received.
   *
   * @param daemon id of the daemon that sent it
   * @param token fencing token of the command
   * @param machine id of the machine
   * @param target pool to which the machine moves, or its maintenance wave
   */
  public record RecordedCommand(String daemon, long token, String machine, String target) {}

  /**
   * Adds or replaces a machine.
   *
   * @param machine the machine
   */
  public void put(final Machine machine) {
    machines.put(machine.id(), machine);
  }

  /**
   * Leaves a machine out of the lists, as happens when it is shifted from a page that is read later
   * to one that was read before, or shows it again.
   *
   * @param id id of the machine
   * @param missing whether the lists lack it
   */
  public void omit(final String id, final boolean missing) {
    if (missing) {
      omitted.add(id);
    } else {
      omitted.remove(id);
    }
  }

  /**
   * Returns the recorded commands.
   *
   * @return all commands in the order of their arrival
   */
  public List<RecordedCommand> commands() {
    return List.copyOf(commands);
  }

  /**
   * Returns the machines as seen by one daemon.
   *
   * @param daemon id of the daemon
   * @return client that sends commands in the name of the daemon
   */
  public MachineClient client(final String daemon) {
    return new MachineClient() {
      @Override
      public CompletableFuture<List<Machine>> list() {
        return CompletableFuture.completedFuture(
            machines.values().stream().filter(machine -> !omitted.contains(machine.id())).toList());
      }

      @Override
      public CompletableFuture<MachineCommandResult> move(
          final String machine, final String pool, final long token) {
        commands.add(new RecordedCommand(daemon, token, machine, pool));
        return CompletableFuture.completedFuture(MachineCommandResult.DONE);
      }

      @Override
      public CompletableFuture<MachineCommandResult> maintain(
          final String machine, final long wave, final long token) {
        commands.add(new RecordedCommand(daemon, token, machine, "wave " + wave));
        return CompletableFuture.completedFuture(MachineCommandResult.DONE);
      }
    };
  }
}
