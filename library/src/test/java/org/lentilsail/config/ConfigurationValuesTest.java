package org.lentilsail.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.IntNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lentilsail.platform.KeyChange;

/** Guards against values that revert, reappear after deletion, or mix two states. */
class ConfigurationValuesTest {
  private final ConfigurationValues values = new ConfigurationValues();

  @Test
  void lateAndRepeatedBatchesChangeNothing() {
    values.apply(batch(0, 2, set("config/a", 1), set("config/a", 2)));
    assertThat(values.apply(batch(0, 1, set("config/a", 1))), is(ApplyResult.STALE));
    assertThat(
        values.apply(new ChangeBatch(true, 0, 1, List.of(set("config/a", 1)))),
        is(ApplyResult.STALE));
    assertThat(values.lastChanges().get("config/a").revision(), is(2L));
  }

  @Test
  void deletedKeyDoesNotReappearAfterLateChange() {
    values.apply(batch(0, 2, set("config/a", 1), deleted("config/a", 2)));
    values.apply(batch(0, 3, set("config/a", 1), set("config/b", 3)));
    assertThat(values.lastChanges().get("config/a").value().isPresent(), is(false));
    assertThat(values.changesSince(1).changes().size(), is(2));
  }

  @Test
  void batchAfterGapIsNotApplied() {
    values.apply(batch(0, 1, set("config/a", 1)));
    assertThat(values.apply(batch(2, 3, set("config/a", 3))), is(ApplyResult.GAP));
    assertThat(values.revision(), is(1L));
  }

  @Test
  void fullBatchRemovesMissingKeys() {
    values.apply(batch(0, 1, set("config/a", 1)));
    values.apply(new ChangeBatch(true, 0, 5, List.of(set("config/b", 4))));
    assertThat(values.lastChanges().containsKey("config/a"), is(false));
    assertThat(values.changesSince(1).full(), is(true));
    assertThat(values.changesSince(5).full(), is(false));
  }

  @Test
  void fullBatchReplacesTruncatedLog() {
    final int total = 3 * ConfigurationValues.MAX_LOG_ENTRIES;
    for (int i = 1; i <= total; i++) {
      final KeyChange change = i % 2 == 0 ? deleted("config/" + (i - 1), i) : set("config/" + i, i);
      values.apply(batch(i - 1, i, change));
    }
    assertThat(
        values.changesSince(total - ConfigurationValues.MAX_LOG_ENTRIES - 1).full(), is(true));
    assertThat(values.changesSince(total - ConfigurationValues.MAX_LOG_ENTRIES).full(), is(false));
    assertThat(
        values.changesSince(total - ConfigurationValues.MAX_LOG_ENTRIES).changes().size(),
        is(ConfigurationValues.MAX_LOG_ENTRIES));
    assertThat(
        values.lastChanges().size(), is(lessThanOrEqualTo(ConfigurationValues.MAX_LOG_ENTRIES)));
  }

  @Test
  void keysWithOtherPrefixesAreNotStored() {
    values.apply(batch(0, 1, set("elsewhere/a", 1)));
    assertThat(values.lastChanges().isEmpty(), is(true));
    assertThat(values.revision(), is(1L));
  }

  /** Batches of a random history arrive in random order, some twice, until all have been seen. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void anyOrderConvergesToTheLastState(final long seed) {
    final Random random = new Random(seed);
    final Map<String, Long> expected = new HashMap<>();
    final List<ChangeBatch> batches = new ArrayList<>();
    for (int i = 1; i <= 60; i++) {
      final String key = "config/" + random.nextInt(6);
      final boolean delete = expected.containsKey(key) && random.nextInt(4) == 0;
      if (delete) {
        expected.remove(key);
      } else {
        expected.put(key, (long) i);
      }
      batches.add(batch(i - 1, i, delete ? deleted(key, i) : set(key, i)));
    }
    final Map<String, Long> lastSeen = new HashMap<>();
    while (values.revision() < 60) {
      Collections.shuffle(batches, random);
      for (final ChangeBatch batch : batches) {
        final long before = values.revision();
        values.apply(batch);
        assertThat(before, is(lessThanOrEqualTo(values.revision())));
        values
            .lastChanges()
            .forEach((key, change) -> checkRevision(lastSeen, key, change.revision()));
      }
    }
    final Map<String, Long> result = new HashMap<>();
    values.lastChanges().values().stream()
        .filter(change -> change.value().isPresent())
        .forEach(change -> result.put(change.key(), change.revision()));
    assertThat(result, is(expected));
  }

  private static void checkRevision(
      final Map<String, Long> lastSeen, final String key, final long revision) {
    assertThat(lastSeen.getOrDefault(key, 0L), is(lessThanOrEqualTo(revision)));
    lastSeen.put(key, revision);
  }

  private static ChangeBatch batch(final long from, final long to, final KeyChange... changes) {
    return new ChangeBatch(false, from, to, List.of(changes));
  }

  private static KeyChange set(final String key, final long revision) {
    final JsonNode value = IntNode.valueOf((int) revision);
    return new KeyChange(key, Optional.of(value), revision);
  }

  private static KeyChange deleted(final String key, final long revision) {
    return new KeyChange(key, Optional.empty(), revision);
  }
}
