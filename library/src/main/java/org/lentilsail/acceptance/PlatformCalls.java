package org.lentilsail.acceptance;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;

/** Blocking calls of the platform. */
final class PlatformCalls {
  private PlatformCalls() {}

  /** Repeats a read until it succeeds or the deadline passes. */
  static <T> T read(final Supplier<CompletableFuture<T>> call, final Deadline deadline) {
    Optional<T> result = Optional.empty();
    LentilsailException last = unavailable(null);
    while (result.isEmpty()) {
      if (deadline.isExpired()) {
        throw unavailable(last);
      }
      try {
        result = Optional.of(await(call.get(), deadline.remaining()));
      } catch (final LentilsailException error) {
        if (!isRetryable(error)) {
          throw error;
        }
        last = error;
        deadline.sleepBeforeRetry();
      }
    }
    return result.get();
  }

  /** Waits for one reply; a timeout counts as an unknown outcome. */
  static <T> T await(final CompletableFuture<T> reply, final Duration limit) {
    try {
      return reply.get(limit.toNanos(), TimeUnit.NANOSECONDS);
    } catch (final TimeoutException error) {
      throw outcomeUnknown("the platform did not reply in time", error);
    } catch (final InterruptedException error) {
      Thread.currentThread().interrupt();
      throw outcomeUnknown("the wait for the platform was interrupted", error);
    } catch (final ExecutionException error) {
      if (error.getCause() instanceof LentilsailException typed) {
        throw typed;
      }
      throw outcomeUnknown("the call to the platform failed: " + error.getCause(), error);
    }
  }

  /** Returns whether a call may succeed when it is repeated. */
  static boolean isRetryable(final LentilsailException error) {
    return !Thread.currentThread().isInterrupted()
        && (error.code() == ErrorCode.PLATFORM_UNAVAILABLE
            || error.code() == ErrorCode.OUTCOME_UNKNOWN);
  }

  static LentilsailException unavailable(final Throwable cause) {
    return new LentilsailException(
        ErrorCode.PLATFORM_UNAVAILABLE,
        "the platform does not answer; nothing was written",
        "repeat the command when the platform answers again",
        cause);
  }

  private static LentilsailException outcomeUnknown(final String message, final Throwable cause) {
    return new LentilsailException(ErrorCode.OUTCOME_UNKNOWN, message, "repeat the command", cause);
  }
}
