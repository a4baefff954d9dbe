package org.lentilsail.policy.health;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/** Tracks the health of the workers of one service from the outcomes of their requests. */
public final class ServiceHealth {
  /** Consecutive failures after which a worker is withdrawn. */
  public static final int FAILURES_TO_WITHDRAW = 3;

  private final RandomGenerator random;

  private final Set<String> workers = new HashSet<>();

  /** Failures by worker; a worker that has not failed since its last success has no entry. */
  private final Map<String, FailureTracker> failures = new HashMap<>();

  /** Number of workers that are withdrawn or on trial. */
  private int failing;

  /**
   * Creates the health tracker of a service without workers.
   *
   * @param random source of the jitter
   */
  public ServiceHealth(final RandomGenerator random) {
    this.random = random;
  }

  /**
   * Adds a worker, healthy until its requests show otherwise.
   *
   * @param vm VM of the worker
   */
  public void add(final String vm) {
    workers.add(vm);
  }

  /**
   * Removes a worker.
   *
   * @param vm VM of the worker
   */
  public void remove(final String vm) {
    workers.remove(vm);
    succeeded(vm);
  }

  /**
   * Counts a successful request.
   *
   * @param vm VM of the worker
   */
  public void succeeded(final String vm) {
    final FailureTracker tracker = failures.remove(vm);
    if (tracker != null && tracker.failing()) {
      failing--;
    }
  }

  /**
   * Counts a failed request.
   *
   * @param vm VM of the worker
   * @param nowNanos monotonic time
   */
  public void failed(final String vm, final long nowNanos) {
    if (workers.contains(vm)) {
      final FailureTracker tracker = failures.computeIfAbsent(vm, name -> new FailureTracker());
      final boolean wasFailing = tracker.failing();
      tracker.fail(FAILURES_TO_WITHDRAW, nowNanos, random);
      if (tracker.failing() && !wasFailing) {
        failing++;
      }
    }
  }

  /**
   * Returns whether more than half of the workers fail. The cause is then assumed to be outside the
   * workers, and withdrawing them would only reduce capacity.
   *
   * @return true when no worker is withdrawn
   */
  public boolean sharedCause() {
    return failing * 2 > workers.size();
  }

  /**
   * Returns how much work a worker may get.
   *
   * @param vm VM of the worker
   * @param nowNanos monotonic time
   * @return the state
   */
  public HealthState state(final String vm, final long nowNanos) {
    final FailureTracker tracker = failures.get(vm);
    HealthState state = HealthState.HEALTHY;
    if (tracker != null && tracker.failing() && !sharedCause()) {
      state = nowNanos - tracker.untilNanos() < 0 ? HealthState.WITHDRAWN : HealthState.ON_TRIAL;
    }
    return state;
  }

  /**
   * Returns whether a worker has failed too often, also when a shared cause keeps it in use.
   *
   * @param vm VM of the worker
   * @return true until a request succeeds
   */
  public boolean isFailing(final String vm) {
    final FailureTracker tracker = failures.get(vm);
    return tracker != null && tracker.failing();
  }

  /**
   * Returns the workers that have failed too often, also when a shared cause keeps them in use.
   *
   * @return VMs of the workers
   */
  public Set<String> failingWorkers() {
    final Set<String> result = new HashSet<>();
    failures.forEach(
        (vm, tracker) -> {
          if (tracker.failing()) {
            result.add(vm);
          }
        });
    return result;
  }

  /**
   * Returns the workers that are withdrawn or on trial.
   *
   * @return VMs of the workers
   */
  public Set<String> unhealthy() {
    return sharedCause() ? Set.of() : failingWorkers();
  }
}
