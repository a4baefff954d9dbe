package org.lentilsail.idempotency;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lentilsail.model.time.ManualTimeSource;

/**
 * Guards against daemons that never own a key range because the first daemon acquired all ranges
 * before they started. This failure made {@code AtMostOnceTest} of the system module time out after
 * waiting 40 s for a range.
 */
class KeyTermManagerTest {
  private static final long AHEAD_MILLIS = 3_600_000;
  private static final int DAEMONS = 4;

  /** Ticks, one a second, in which every daemon must own a range. */
  private static final int TICKS = 30;

  private final ManualTimeSource time = new ManualTimeSource(1_700_000_000_000L);
  private final LossyPlatform platform = new LossyPlatform(new Random(1), 0);

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 5})
  void laterDaemonsAcquireRangesThatTheFirstOneReleases(final int headStartTicks) {
    final List<KeyTermManager> managers = new ArrayList<>();
    managers.add(manager(0));
    for (int i = 0; i < headStartTicks; i++) {
      tick(managers);
    }
    while (managers.size() < DAEMONS) {
      managers.add(manager(managers.size()));
    }
    for (int i = 0; i < TICKS; i++) {
      tick(managers);
    }
    for (final KeyTermManager manager : managers) {
      assertThat(manager.ownedRanges(), greaterThan(0));
    }
  }

  private KeyTermManager manager(final int index) {
    return new KeyTermManager(
        platform, new KeyTable(1_800_000, 100), time, AHEAD_MILLIS, "d" + index, index + 1);
  }

  private void tick(final List<KeyTermManager> managers) {
    time.advance(Duration.ofSeconds(1));
    managers.forEach(manager -> manager.tick(managers.size(), term -> false));
  }
}
