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
 * Guards against daemons that never own a range of keys because the first one took all ranges
 * before they started: {@code AtMostOnceTest} of the system waited for a range for 40 s in vain.
 */
class KeyTermManagerTest {
  private static final long AHEAD_MILLIS = 3_600_000;
  private static final int DAEMONS = 4;

  /** Ticks, one a second, in which every daemon must own a range. */
  private static final int TICKS = 30;

  private final ManualTimeSource time = new ManualTimeSource(1_700_000_000_000L);
  private final FakePlatform platform = new FakePlatform(new Random(1), 0);

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 5})
  void laterDaemonsGetRangesThatTheFirstOneGivesUp(final int headStartTicks) {
    final List<KeyTermManager> keepers = new ArrayList<>();
    keepers.add(keeper(0));
    for (int i = 0; i < headStartTicks; i++) {
      tick(keepers);
    }
    while (keepers.size() < DAEMONS) {
      keepers.add(keeper(keepers.size()));
    }
    for (int i = 0; i < TICKS; i++) {
      tick(keepers);
    }
    for (final KeyTermManager keeper : keepers) {
      assertThat(keeper.ownedRanges(), greaterThan(0));
    }
  }

  private KeyTermManager keeper(final int index) {
    return new KeyTermManager(
        platform, new KeyTable(1_800_000, 100), time, AHEAD_MILLIS, "d" + index, index + 1);
  }

  private void tick(final List<KeyTermManager> keepers) {
    time.advance(Duration.ofSeconds(1));
    keepers.forEach(keeper -> keeper.tick(keepers.size(), term -> false));
  }
}
