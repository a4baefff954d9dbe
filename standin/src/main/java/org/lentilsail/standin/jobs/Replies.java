package org.lentilsail.standin.jobs;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.lentilsail.worker.CommandReply;
import org.lentilsail.worker.CommandResult;

/** Replies of the simulated network between daemons and workers. */
final class Replies {
  private Replies() {}

  static <T> CompletableFuture<T> delayed(
      final ScheduledExecutorService executor, final T value, final long millis) {
    final CompletableFuture<T> reply = new CompletableFuture<>();
    executor.schedule(() -> reply.complete(value), millis, TimeUnit.MILLISECONDS);
    return reply;
  }

  /** Returns the result of a command that the worker has not answered. */
  static CommandReply failed(final CommandResult result) {
    return new CommandReply(result, -1, "no reply");
  }
}
