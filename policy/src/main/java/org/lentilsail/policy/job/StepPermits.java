package org.lentilsail.policy.job;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * What the advice service has said of the workers of one step: which may run it, by which permit,
 * and which may not. The answer for a step does not change, but permits expire, and a worker that
 * has started anew needs another one. Owned by the control thread.
 */
public final class StepPermits {
  /** Time in ns that a start takes to reach its worker; a permit must be valid that long. */
  private static final long START_NANOS = 400_000_000L;

  private final Map<String, Permit> permits = new HashMap<>();
  private final Set<String> refused = new HashSet<>();

  /**
   * A permit.
   *
   * @param text text that a start carries
   * @param bornMillis start of the worker, in ms since the Unix epoch
   * @param validUntil monotonic time in ns
   */
  private record Permit(String text, long bornMillis, long validUntil) {}

  /**
   * Takes in an answer of the advice service.
   *
   * @param asked the workers that were asked about
   * @param good permit by id of the workers that may run the step
   * @param validUntil monotonic time in ns at which the permits expire
   */
  public void recordAnswer(
      final Collection<WorkerState> asked, final Map<String, String> good, final long validUntil) {
    for (final WorkerState worker : asked) {
      final String text = good.get(worker.id());
      if (text == null) {
        refused.add(worker.id());
      } else {
        permits.put(worker.id(), new Permit(text, worker.entry().startTimeMillis(), validUntil));
      }
    }
  }

  /**
   * Takes in that a worker has rejected the permit of a start.
   *
   * @param worker id of the worker
   */
  public void discard(final String worker) {
    permits.remove(worker);
  }

  /**
   * Returns the permit for a start.
   *
   * @param worker the worker
   * @param now monotonic time in ns
   * @return the permit, empty when there is none that is valid long enough
   */
  public String validPermit(final WorkerState worker, final long now) {
    final Permit permit = permits.get(worker.id());
    return permit != null
            && permit.bornMillis() == worker.entry().startTimeMillis()
            && permit.validUntil() - now >= START_NANOS
        ? permit.text()
        : "";
  }

  /** Tells whether the advice service is known to refuse a worker. */
  boolean isRefused(final WorkerState worker) {
    return refused.contains(worker.id());
  }

  /** Tells whether a worker is known to be good, also when its permit has expired. */
  boolean wasPermitted(final WorkerState worker) {
    return permits.containsKey(worker.id());
  }
}
