package org.lentilsail.standin.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lentilsail.ManualExecutor;
import org.lentilsail.model.time.ClockReading;
import org.lentilsail.model.time.ManualTimeSource;
import org.lentilsail.store.ItemChange;
import org.lentilsail.store.PrefixListener;
import org.lentilsail.store.PrefixWatcher;
import org.lentilsail.store.StoredItem;

/**
 * Guards against a watch that is never issued again after a listener has thrown, so that the daemon
 * follows nothing from then on while it looks healthy.
 */
class PrefixWatcherTest {
  private static final String ODD = "w/odd";

  private final ManualTimeSource time = new ManualTimeSource(1_700_000_000_000L);
  private final ManualExecutor executor = new ManualExecutor(time);
  private final MemoryStore store = new MemoryStore(time, executor);
  private final List<String> seen = new ArrayList<>();

  /** Records keys and throws for one of them. */
  private final class ThrowingListener implements PrefixListener {
    @Override
    public void onSnapshot(final List<StoredItem> items) {
      items.forEach(item -> record(item.key()));
    }

    @Override
    public void onChange(final ItemChange change) {
      record(change.key());
    }

    private void record(final String key) {
      if (key.equals(ODD)) {
        throw new IllegalStateException("cannot process " + key);
      }
      seen.add(key);
    }
  }

  @BeforeEach
  void watch() {
    put("w/a");
  }

  @Test
  void changesAfterOneThatCannotBeProcessedAreSeen() {
    start();
    put(ODD);
    put("w/b");
    executor.advance(Duration.ofSeconds(2));
    put("w/c");
    executor.advance(Duration.ofSeconds(2));
    assertThat(seen, is(List.of("w/a", "w/b", "w/c")));
  }

  @Test
  void changesAfterSnapshotThatCannotBeProcessedAreSeen() {
    put(ODD);
    start();
    put("w/z");
    executor.advance(Duration.ofSeconds(2));
    assertThat(seen, is(List.of("w/a", "w/z")));
  }

  /** Guards against evidence that is in use before the changes that came with it. */
  @Test
  void sendingTimeIsReportedAfterTheChangesOfItsResponse() {
    final PrefixListener listener =
        new PrefixListener() {
          @Override
          public void onSnapshot(final List<StoredItem> items) {
            items.forEach(item -> seen.add(item.key()));
          }

          @Override
          public void onChange(final ItemChange change) {
            seen.add(change.key());
          }

          @Override
          public void onResponseApplied(final ClockReading sentAt) {
            seen.add("sent at " + sentAt.nanos() / 1_000_000);
          }
        };
    new PrefixWatcher(store.client("d1"), "w/", listener, executor, time, Duration.ofMillis(5))
        .start();
    executor.advance(Duration.ofMillis(100));
    put("w/b");
    executor.advance(Duration.ofMillis(100));
    assertThat(seen, is(List.of("w/a", "sent at 0", "w/b", "sent at 5")));
  }

  private void start() {
    new PrefixWatcher(
            store.client("d1"), "w/", new ThrowingListener(), executor, time, Duration.ofMillis(5))
        .start();
    executor.advance(Duration.ofSeconds(1));
  }

  private void put(final String key) {
    store.put(key, "x".getBytes(StandardCharsets.UTF_8));
  }
}
