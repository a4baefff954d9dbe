package org.lentilsail.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.OutputStream;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lentilsail.ManualExecutor;
import org.lentilsail.log.DecisionLog;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.time.ManualTimeSource;
import org.lentilsail.store.GrantedLease;
import org.lentilsail.store.KeyValueStore;

/**
 * Guards against a leader that stays passive after an outage of the store, in which leases pause:
 * its next renewal came up to half a second later, while jobs waited.
 */
class LeaderLeaseTest {
  private static final Duration TIME_TO_LIVE = Duration.ofMillis(2_000);
  private static final Duration ONE_RETRY = Duration.ofMillis(101);

  private final ManualTimeSource time = new ManualTimeSource(1_700_000_000_000L);
  private final ManualExecutor executor = new ManualExecutor(time);
  private final DecisionLog log =
      new DecisionLog(time, new PrintStream(OutputStream.nullOutputStream()));
  private final LeaderLease lease =
      new LeaderLease(store(), executor, time, log, TIME_TO_LIVE, () -> {});
  private boolean storeRefuses;
  private boolean released;

  @BeforeEach
  void hold() {
    lease.hold(new GrantedLease(1, TIME_TO_LIVE.toMillis()), time.nanos());
    executor.advance(Duration.ofSeconds(1));
  }

  @AfterEach
  void close() {
    log.close();
  }

  @ParameterizedTest
  @ValueSource(ints = {3_000, 3_150, 3_300, 3_450})
  void isValidSoonAfterOutageOfTheStore(final int outageMillis) {
    storeRefuses = true;
    executor.advance(Duration.ofMillis(outageMillis));
    assertThat(lease.isValid(), is(false));
    storeRefuses = false;
    executor.advance(ONE_RETRY);
    assertThat(lease.isValid(), is(true));
  }

  @Test
  void isInvalidAfterPause() {
    assertThat(lease.isValid(), is(true));
    time.advance(TIME_TO_LIVE);
    assertThat(lease.isValid(), is(false));
  }

  /**
   * The store may end the lease while the VM is suspended too shortly for the lease to be invalid.
   */
  @Test
  void shortSuspensionCountsAsUnconfirmed() {
    final SkewedClocks clocks = new SkewedClocks(time, 1);
    final LeaderLease suspended =
        new LeaderLease(store(), executor, clocks, log, TIME_TO_LIVE, () -> {});
    suspended.hold(new GrantedLease(2, TIME_TO_LIVE.toMillis()), clocks.nanos());
    time.advance(Duration.ofMillis(400));
    clocks.wasSuspendedFor(Duration.ofMillis(300));
    assertThat(suspended.isValid(), is(true));
    assertThat(suspended.unconfirmedNanos(), is(Duration.ofMillis(400).toNanos()));
  }

  /** A leader that resigns during an outage in which its lease does not expire. */
  @Test
  void isReleasedSoonAfterOutageOfTheStore() {
    storeRefuses = true;
    lease.release();
    executor.advance(Duration.ofSeconds(3));
    assertThat(released, is(false));
    storeRefuses = false;
    executor.advance(ONE_RETRY);
    assertThat(released, is(true));
  }

  private KeyValueStore store() {
    return (KeyValueStore)
        Proxy.newProxyInstance(
            KeyValueStore.class.getClassLoader(),
            new Class<?>[] {KeyValueStore.class},
            (proxy, method, arguments) -> answer(method.getName()));
  }

  private CompletableFuture<?> answer(final String call) {
    if (storeRefuses) {
      return CompletableFuture.failedFuture(
          new LentilsailException(ErrorCode.PLATFORM_UNAVAILABLE, "refused", "wait"));
    }
    released |= call.equals("revokeLease");
    return CompletableFuture.completedFuture(call.equals("renewLease") ? true : null);
  }
}
