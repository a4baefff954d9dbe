package org.lentilsail.standin.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.time.ManualTimeSource;
import org.lentilsail.platform.WatchResult;
import org.lentilsail.platform.WriteResult;

/** Guards against lost updates, keys that outlive their lease, and gaps in watches. */
class KeyValueStoreTest {
  private static final JsonNode VALUE = TextNode.valueOf("a");

  private final ManualTimeSource time = new ManualTimeSource(0);
  private final KeyValueStore store = new KeyValueStore(time, 3);

  @Test
  void rejectsWriteAtOldRevision() {
    assertThat(put("k", 0).revision(), is(1L));
    assertThat(put("other", 0).revision(), is(2L));
    assertThat(put("k", 1).revision(), is(3L));
    final WriteResult conflict = put("k", 1);
    assertThat(conflict.written(), is(false));
    assertThat(conflict.current().orElseThrow().revision(), is(3L));
    assertThat(store.delete("k", 1).written(), is(false));
    assertThat(put("k", 0).written(), is(false));
  }

  @Test
  void deletesKeysOfExpiredLeaseAtNewRevision() {
    final String lease = store.grant(Duration.ofSeconds(5));
    store.put("held", 0, VALUE, Optional.of(lease));
    time.advance(Duration.ofSeconds(4));
    assertThat(store.keepAlive(lease), is(true));
    time.advance(Duration.ofMillis(4_999));
    assertThat(store.get("held").isPresent(), is(true));
    time.advance(Duration.ofMillis(1));
    final WatchResult changes = store.changes("", 1);
    assertThat(changes.changes().get(0).value().isPresent(), is(false));
    assertThat(changes.revision(), is(2L));
    assertThat(store.keepAlive(lease), is(false));
    assertThrows(LentilsailException.class, () -> store.put("held", 0, VALUE, Optional.of(lease)));
  }

  @Test
  void retainsKeyThatWasWrittenAgainWithoutLease() {
    final String lease = store.grant(Duration.ofSeconds(5));
    store.put("held", 0, VALUE, Optional.of(lease));
    put("held", 1);
    store.revoke(lease);
    assertThat(store.get("held").isPresent(), is(true));
  }

  @Test
  void reportsWhenChangesAreMissing() {
    for (int i = 0; i < 5; i++) {
      put("k" + i, 0);
    }
    assertThat(store.changes("", 1).complete(), is(false));
    assertThat(store.changes("", 2).complete(), is(true));
    assertThat(store.changes("", 2).changes().size(), is(3));
    assertThat(store.changes("k4", 2).changes().size(), is(1));
    assertThat(store.changes("", 6).complete(), is(false));
  }

  @Test
  void listsOnlyKeysWithPrefix() {
    put("a/1", 0);
    put("b/1", 0);
    put("b/2", 0);
    put("c/1", 0);
    assertThat(store.list("b/").values().size(), is(2));
    assertThat(store.list("b/").revision(), is(4L));
  }

  private WriteResult put(final String key, final long expected) {
    return store.put(key, expected, VALUE, Optional.empty());
  }
}
