package org.lentilsail.policy.job;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Answers of the advice service for the workers of one step: permits of the workers that may run
 * it, and the workers that may not. The answer for a worker does not change, but permits expire,
 * and a restarted worker needs a new one. Confined to the control thread.
 */
public final class StepPermits {
  /**
   * Minimum remaining validity of a permit in ns; a start command takes up to this time to reach
   * its worker.
   */
  private static final long MIN_VALIDITY_NANOS = 400_000_000L;

  private final Map<String, Permit> permits = new HashMap<>();
  private final Set<String> refused = new HashSet<>();

  /**
   * A permit.
   *
   * @param text text that is sent with a start command
   * @param startTimeMillis start time of the worker in ms since the Unix epoch
   * @param validUntil monotonic time in ns at which the permit expires
   */
  private record Permit(String text, long startTimeMillis, long validUntil) {}

  /**
   * Records an answer of the advice service.
   *
   * @param asked the workers named in the request
   * @param granted permits of the workers that may run the step, by worker id
   * @param validUntil monotonic time in ns at which the permits expire
   */
  public void recordAnswer(
      final Collection<WorkerState> asked,
      final Map<String, String> granted,
      final long validUntil) {
    for (final WorkerState worker : asked) {
      final String text = granted.get(worker.id());
      if (text == null) {
        refused.add(worker.id());
      } else {
        permits.put(worker.id(), new Permit(text, worker.entry().startTimeMillis(), validUntil));
      }
    }
  }

  /**
   * Discards a permit that a worker has rejected.
   *
   * @param worker id of the worker
   */
  public void discard(final String worker) {
    permits.remove(worker);
  }

  /**
   * Returns the permit for a start command.
   *
   * @param worker the worker
   * @param now monotonic time in ns
   * @return the permit, empty if there is none that is valid long enough
   */
  public String validPermit(final WorkerState worker, final long now) {
    final Permit permit = permits.get(worker.id());
    return permit != null
            && permit.startTimeMillis() == worker.entry().startTimeMillis()
            && permit.validUntil() - now >= MIN_VALIDITY_NANOS
        ? permit.text()
        : "";
  }

  /** Returns whether the advice service has refused a worker. */
  boolean isRefused(final WorkerState worker) {
    return refused.contains(worker.id());
  }

  /**
   * Returns whether the advice service has granted a permit for a worker, even if the permit has
   * expired.
   */
  boolean wasPermitted(final WorkerState worker) {
    return permits.containsKey(worker.id());
  }
}
