package org.lentilsail.policy.health;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/** Assesses the workers of one service from the outcomes of their requests. */
public final class ServiceHealth {
  /** Failures in a row after which a worker is withdrawn. */
  public static final int FAILURES_TO_WITHDRAW = 3;

  /** Source of the jitter. */
  private final RandomGenerator random;

  /** The workers of the service. */
  private final Set<String> workers = new HashSet<>();

  /** Failures by worker; a worker that has not failed since its last success has no entry. */
  private final Map<String, FailureTracker> failures = new HashMap<>();

  /** Number of workers that are withdrawn or on trial. */
  private int failing;

  /**
   * Creates the assessment of a service without workers.
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
   * Forgets a worker.
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
    final FailureTracker record = failures.remove(vm);
    if (record != null && record.failing()) {
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
      final FailureTracker record = failures.computeIfAbsent(vm, name -> new FailureTracker());
      final boolean before = record.failing();
      record.fail(FAILURES_TO_WITHDRAW, nowNanos, random);
      if (record.failing() && !before) {
        failing++;
      }
    }
  }

  /**
   * Tells whether more than half of the workers fail. The cause is then taken to be outside the
   * workers, and withdrawing them would only take capacity away.
   *
   * @return true when nobody is withdrawn
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
    final FailureTracker record = failures.get(vm);
    HealthState state = HealthState.HEALTHY;
    if (record != null && record.failing() && !sharedCause()) {
      state = nowNanos - record.untilNanos() < 0 ? HealthState.WITHDRAWN : HealthState.ON_TRIAL;
    }
    return state;
  }

  /**
   * Tells whether a worker has failed too often, also when a shared cause keeps it in use.
   *
   * @param vm VM of the worker
   * @return true until a request succeeds
   */
  public boolean isFailing(final String vm) {
    final FailureTracker record = failures.get(vm);
    return record != null && record.failing();
  }

  /**
   * Returns the workers that have failed too often, also when a shared cause keeps them in use.
   *
   * @return VMs of the workers
   */
  public Set<String> failingWorkers() {
    final Set<String> result = new HashSet<>();
    failures.forEach(
        (vm, record) -> {
          if (record.failing()) {
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
