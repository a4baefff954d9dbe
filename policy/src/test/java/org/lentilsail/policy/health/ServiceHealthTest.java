package org.lentilsail.policy.health;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against workers that fail everything and still get work, and against over-reaction. */
class ServiceHealthTest {
  /** One second in ns. */
  private static final long SECOND = 1_000_000_000L;

  /** The assessment under test. */
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

  /** Guards against withdrawal for failures that are not in a row. */
  @Test
  void withdrawsAfterThreeFailuresInRowOnly() {
    fail("a", 2, 0);
    health.succeeded("a");
    fail("a", 2, 0);
    assertThat(health.state("a", 0), is(HealthState.HEALTHY));
    fail("a", 1, 0);
    assertThat(health.state("a", 0), is(HealthState.WITHDRAWN));
  }

  /** Guards against a back-off that never ends, or that ends in full load. */
  @Test
  void triesOneRequestAfterTheBackoff() {
    fail("a", 3, 0);
    assertThat(health.state("a", SECOND / 2 - 1), is(HealthState.WITHDRAWN));
    assertThat(health.state("a", SECOND), is(HealthState.ON_TRIAL));
    health.succeeded("a");
    assertThat(health.state("a", SECOND), is(HealthState.HEALTHY));
  }

  /** Guards against a back-off that does not double, or that grows past 30 s. */
  @Test
  void doublesTheBackoffUpToThirtySeconds() {
    fail("a", 3, 0);
    long now = SECOND;
    fail("a", 1, now);
    assertThat(health.state("a", now + SECOND - 1), is(HealthState.WITHDRAWN));
    for (int i = 0; i < 10; i++) {
      now += 31 * SECOND;
      fail("a", 1, now);
    }
    assertThat(health.state("a", now + 20 * SECOND - 1), is(HealthState.WITHDRAWN));
    assertThat(health.state("a", now + 30 * SECOND), is(HealthState.ON_TRIAL));
  }

  /** Guards against requests in flight at the withdrawal that lengthen the back-off. */
  @Test
  void ignoresFailuresWithinTheBackoff() {
    fail("a", 8, 0);
    assertThat(health.state("a", SECOND), is(HealthState.ON_TRIAL));
  }

  /** Guards against a shared cause that takes most of the capacity away. */
  @Test
  void withdrawsNobodyWhenMoreThanHalfFail() {
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

  /** Guards against a request that fails everywhere and is sent to worker after worker. */
  @Test
  void stopsRequestsThatFailedOnThreeWorkers() {
    assertThat(AttemptLimit.mayRetry(2), is(true));
    assertThat(AttemptLimit.mayRetry(3), is(false));
  }
}
