package org.lentilsail.policy.health;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against workers that fail every request and still get work, and against withdrawing
 * workers without need.
 */
class ServiceHealthTest {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private ServiceHealth health;

  @BeforeEach
  void addFourWorkers() {
    health = new ServiceHealth(new Random(1));
    Set.of("a", "b", "c", "d").forEach(health::add);
  }

  private void fail(final String vm, final int times, final long now) {
    for (int i = 0; i < times; i++) {
      health.failed(vm, now);
    }
  }

  /** Guards against withdrawal for failures that are not consecutive. */
  @Test
  void withdrawsAfterThreeConsecutiveFailuresOnly() {
    fail("a", 2, 0);
    health.succeeded("a");
    fail("a", 2, 0);
    assertThat(health.state("a", 0), is(HealthState.HEALTHY));
    fail("a", 1, 0);
    assertThat(health.state("a", 0), is(HealthState.WITHDRAWN));
  }

  /** Guards against a back-off that never ends, or after which a worker gets full load at once. */
  @Test
  void triesOneRequestAfterTheBackoff() {
    fail("a", 3, 0);
    assertThat(health.state("a", NANOS_PER_SECOND / 2 - 1), is(HealthState.WITHDRAWN));
    assertThat(health.state("a", NANOS_PER_SECOND), is(HealthState.ON_TRIAL));
    health.succeeded("a");
    assertThat(health.state("a", NANOS_PER_SECOND), is(HealthState.HEALTHY));
  }

  /** Guards against a back-off that does not double, or that grows past 30 s. */
  @Test
  void doublesTheBackoffUpToThirtySeconds() {
    fail("a", 3, 0);
    long now = NANOS_PER_SECOND;
    fail("a", 1, now);
    assertThat(health.state("a", now + NANOS_PER_SECOND - 1), is(HealthState.WITHDRAWN));
    for (int i = 0; i < 10; i++) {
      now += 31 * NANOS_PER_SECOND;
      fail("a", 1, now);
    }
    assertThat(health.state("a", now + 20 * NANOS_PER_SECOND - 1), is(HealthState.WITHDRAWN));
    assertThat(health.state("a", now + 30 * NANOS_PER_SECOND), is(HealthState.ON_TRIAL));
  }

  /** Guards against requests in flight at the time of withdrawal that lengthen the back-off. */
  @Test
  void ignoresFailuresWithinTheBackoff() {
    fail("a", 8, 0);
    assertThat(health.state("a", NANOS_PER_SECOND), is(HealthState.ON_TRIAL));
  }

  /** Guards against the loss of most of the capacity to a shared cause. */
  @Test
  void withdrawsNoWorkerWhenMoreThanHalfFail() {
    fail("a", 3, 0);
    fail("b", 3, 0);
    assertThat(health.unhealthy(), is(Set.of("a", "b")));
    fail("c", 3, 0);
    assertThat(health.state("a", 0), is(HealthState.HEALTHY));
    assertThat(health.unhealthy(), is(empty()));
  }

  /** Guards against removed workers that still count among the failing ones. */
  @Test
  void forgetsRemovedWorkers() {
    fail("a", 3, 0);
    health.remove("a");
    health.failed("a", 0);
    assertThat(health.failingWorkers(), is(empty()));
  }

  /** Guards against a request that fails everywhere and is retried on worker after worker. */
  @Test
  void stopsRequestsThatFailedOnThreeWorkers() {
    assertThat(AttemptLimit.mayRetry(2), is(true));
    assertThat(AttemptLimit.mayRetry(3), is(false));
  }
}
