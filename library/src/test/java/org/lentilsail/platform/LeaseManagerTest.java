package org.lentilsail.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.lentilsail.ManualExecutor;
import org.lentilsail.model.time.ManualTimeSource;

/** Guards against a daemon that considers its lease valid after the platform has expired it. */
class LeaseManagerTest {
  private static final Duration TTL = Duration.ofSeconds(5);

  private final ManualTimeSource time = new ManualTimeSource(0);
  private final FakePlatform platform = new FakePlatform(time);
  private final ManualExecutor executor = new ManualExecutor(time);
  private final List<String> events = new ArrayList<>();
  private final LeaseManager manager =
      new LeaseManager(
          platform,
          time,
          executor,
          TTL,
          Duration.ofSeconds(1),
          new LeaseListener() {
            @Override
            public void leaseAcquired(final String lease) {
              events.add("held");
            }

            @Override
            public void leaseLost(final String lease) {
              events.add("lost");
            }
          });

  @Test
  void keepsTheLeaseByRenewals() {
    manager.start();
    executor.advance(Duration.ofSeconds(20));
    assertThat(manager.lease().isPresent(), is(true));
    assertThat(events, is(List.of("held")));
  }

  @Test
  void losesTheLeaseOneSecondBeforeItCanExpire() {
    manager.start();
    executor.advance(Duration.ZERO);
    final String lease = manager.lease().orElseThrow();
    platform.setDown(true);
    executor.advance(Duration.ofMillis(3_900));
    assertThat(manager.lease(), is(Optional.of(lease)));
    executor.advance(Duration.ofMillis(100));
    assertThat(manager.lease(), is(Optional.empty()));
    assertThat(events, is(List.of("held", "lost")));
  }

  @Test
  void reportsNoLeaseAfterPauseLongerThanItsValidity() {
    manager.start();
    executor.advance(Duration.ZERO);
    time.advance(Duration.ofSeconds(6));
    assertThat(manager.lease(), is(Optional.empty()));
    assertThat(manager.remaining(), is(Duration.ZERO));
  }

  @Test
  void countsFromBeforeTheRenewalWasSent() {
    manager.start();
    executor.advance(Duration.ZERO);
    executor.pause();
    time.advance(Duration.ofSeconds(1));
    manager.tick();
    time.advance(Duration.ofSeconds(2));
    executor.resume();
    assertThat(manager.remaining(), is(Duration.ofSeconds(2)));
  }

  @Test
  void requestsAnotherLeaseAfterLoss() {
    manager.start();
    executor.advance(Duration.ZERO);
    final String first = manager.lease().orElseThrow();
    platform.revokeLease(first);
    executor.advance(Duration.ofSeconds(3));
    assertThat(events, is(List.of("held", "lost", "held")));
  }
}
