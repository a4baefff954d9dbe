package org.lentilsail.standin.jobs;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.lentilsail.model.job.Machine;
import org.lentilsail.worker.MachineClient;
import org.lentilsail.worker.MachineCommandResult;

/** The platform's machines; orders are recorded and shown in the list. */
public final class SimulatedMachines {
  private final Map<String, Machine> machines = new LinkedHashMap<>();
  private final List<RecordedCommand> commands = new ArrayList<>();

  /**
   * An order that was given.
   *
   * @param daemon daemon that gave it
   * @param token its fencing token
   * @param machine id of the machine
   * @param what pool or wave
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
   * Returns the orders.
   *
   * @return all orders in their order
   */
  public List<RecordedCommand> commands() {
    return List.copyOf(commands);
  }

  /**
   * Returns the machines as one daemon sees them.
   *
   * @param daemon id of the daemon
   * @return the machines
   */
  public MachineClient client(final String daemon) {
    return new MachineClient() {
      @Override
      public CompletableFuture<List<Machine>> list() {
        return CompletableFuture.completedFuture(List.copyOf(machines.values()));
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
