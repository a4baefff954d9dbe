package org.lentilsail.worker;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.lentilsail.model.job.Machine;

/** Sends commands about machines to the platform. Thread-safe. */
public interface MachineClient {
  /**
   * Lists all machines.
   *
   * @return the machines; fails with {@code LentilsailException}
   */
  CompletableFuture<List<Machine>> list();

  /**
   * Moves a machine to another pool. All runs on it end at once.
   *
   * @param machine id of the machine
   * @param pool name of the service that gets it
   * @param token fencing token of the leader
   * @return the result; never fails
   */
  CompletableFuture<MachineCommandResult> move(String machine, String pool, long token);

  /**
   * Starts the maintenance of a machine. All runs on it end at once.
   *
   * @param machine id of the machine
   * @param wave number of the wave
   * @param token fencing token of the leader
   * @return the result; never fails
   */
  CompletableFuture<MachineCommandResult> maintain(String machine, long wave, long token);
}
