package org.lentilsail.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.IntNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lentilsail.platform.KeyChange;

/**
 * Guards against a fleet document that no leader has written, caused by a delta that is applied
 * twice or to a value other than its base.
 */
class ChangeDeltasTest {
  private static final String KEY = "control/fleet/r";

  private final ConfigurationValues sender = new ConfigurationValues();
  private final ConfigurationValues receiver = new ConfigurationValues();

  /** Guards against full documents on every change, and against deltas without effect. */
  @Test
  void changeIsSentAsDelta() {
    final List<JsonNode> history = history(new Random(1), 3);
    receiver.apply(sender.changesSince(0));
    sender.apply(fullValue(1, history.get(1)));
    receiver.apply(sender.changesSince(0));
    sender.apply(fullValue(2, history.get(2)));
    sender.apply(fullValue(3, history.get(3)));
    final ChangeBatch batch = sender.changesSince(1);
    assertThat(batch.changes().size(), is(0));
    assertThat(batch.deltas().size(), is(2));
    assertThat(receiver.apply(batch), is(ApplyResult.APPLIED));
    assertThat(receiver.lastChanges(), is(sender.lastChanges()));
    assertThat(receiver.apply(batch), is(ApplyResult.STALE));
  }

  /** Guards against a delta that is applied to another revision of the key. */
  @Test
  void deltaToAnotherRevisionIsRejectedAndFullValueApplied() {
    final List<JsonNode> history = history(new Random(2), 3);
    for (int i = 1; i <= 3; i++) {
      sender.apply(fullValue(i, history.get(i)));
    }
    receiver.apply(fullValue(1, history.get(1)));
    final List<Delta> last = sender.changesSince(2).deltas();
    final ChangeBatch mislabelled = new ChangeBatch(false, 1, 3, List.of(), last);
    assertThat(receiver.apply(mislabelled), is(ApplyResult.BASE_MISSING));
    assertThat(receiver.revision(), is(1L));
    assertThat(receiver.lastChanges().get(KEY).value().orElseThrow(), is(history.get(1)));
    final ChangeBatch all = sender.fullValuesSince(1);
    assertThat(all.deltas().size(), is(0));
    assertThat(receiver.apply(all), is(ApplyResult.APPLIED));
    assertThat(receiver.lastChanges().get(KEY).value().orElseThrow(), is(history.get(3)));
  }

  /**
   * Guards against a batch that is applied in part when the base of one of its deltas is missing.
   */
  @Test
  void batchWithInvalidDeltaIsNotAppliedInPart() {
    final Delta invalidDelta = new Delta(KEY, 7, 8, JsonNodeFactory.instance.objectNode());
    final KeyChange other = new KeyChange("config/a", Optional.of(IntNode.valueOf(1)), 1);
    final ChangeBatch batch = new ChangeBatch(false, 0, 8, List.of(other), List.of(invalidDelta));
    assertThat(receiver.apply(batch), is(ApplyResult.BASE_MISSING));
    assertThat(receiver.lastChanges().isEmpty(), is(true));
    assertThat(receiver.revision(), is(0L));
  }

  /** Guards against a log that retains 1,024 full documents in memory. */
  @Test
  void logRetainsOnlyDeltas() {
    final List<JsonNode> history = history(new Random(3), 200);
    for (int i = 1; i <= 200; i++) {
      sender.apply(fullValue(i, history.get(i)));
    }
    assertThat(sender.changesSince(199).deltas().size(), is(1));
    final ChangeBatch behind = sender.changesSince(1);
    assertThat(behind.deltas().size() + behind.changes().size(), is(1));
    assertThat(behind.changes().get(0).value().orElseThrow(), is(history.get(200)));
  }

  /** Batches of a random history arrive late, repeated, out of order and with wrong bases. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void anyOrderYieldsOnlyWrittenDocuments(final long seed) {
    final Random random = new Random(seed);
    final int total = 60;
    final List<JsonNode> history = history(random, total);
    final List<ChangeBatch> sent = new ArrayList<>();
    for (int i = 1; i <= total; i++) {
      sender.apply(fullValue(i, history.get(i)));
      sent.add(sender.changesSince(random.nextInt(i)));
      final ChangeBatch newest = sender.changesSince(i - 1);
      sent.add(newest);
      sent.add(new ChangeBatch(false, random.nextInt(i), i, List.of(), newest.deltas()));
    }
    for (int i = 0; i < 4_000; i++) {
      final long before = receiver.revision();
      final ApplyResult result = receiver.apply(sent.get(random.nextInt(sent.size())));
      if (result == ApplyResult.BASE_MISSING || result == ApplyResult.GAP) {
        assertThat("seed " + seed, receiver.revision(), is(before));
        if (random.nextInt(20) == 0) {
          receiver.apply(sender.fullValuesSince(random.nextInt((int) before + 1)));
        }
      }
      checkWritten("seed " + seed, history, before);
    }
    receiver.apply(sender.fullValuesSince(receiver.revision()));
    assertThat("seed " + seed, receiver.revision(), is((long) total));
    checkWritten("seed " + seed, history, total);
  }

  /** Guards against a delta that is as large as the document. */
  @Test
  void deltaOfOneVmIsSmall() {
    final ObjectNode before = JsonNodeFactory.instance.objectNode();
    for (int i = 0; i < 1_200; i++) {
      before.withObjectProperty("vms").putObject("vm-" + i).put("pool", "p").put("since", i);
    }
    final ObjectNode after = before.deepCopy();
    after.withObjectProperty("vms").withObjectProperty("vm-7").put("since", 9_999);
    final JsonNode delta = JsonDelta.between(before, after).orElseThrow();
    assertThat(delta.toString().length(), is(lessThan(100)));
  }

  private void checkWritten(final String seed, final List<JsonNode> history, final long least) {
    assertThat(seed, receiver.revision(), is(greaterThanOrEqualTo(least)));
    final KeyChange current = receiver.lastChanges().get(KEY);
    if (current != null) {
      final JsonNode value = current.value().orElse(null);
      assertThat(seed, value, is(history.get((int) current.revision())));
      assertThat(seed, current.revision(), is(receiver.revision()));
    }
  }

  private static ChangeBatch fullValue(final int revision, final JsonNode value) {
    final KeyChange change = new KeyChange(KEY, Optional.ofNullable(value), revision);
    return new ChangeBatch(false, revision - 1, revision, List.of(change));
  }

  /** Documents by revision; a null is a deletion. */
  private static List<JsonNode> history(final Random random, final int total) {
    final List<JsonNode> result = new ArrayList<>();
    ObjectNode document = JsonNodeFactory.instance.objectNode().put("epoch", 0);
    result.add(document);
    for (int i = 1; i <= total; i++) {
      document = document.deepCopy();
      document.put("epoch", i);
      final ObjectNode vms = document.withObjectProperty("vms");
      for (int change = 0; change < 3; change++) {
        final String vm = "vm-" + random.nextInt(8);
        if (random.nextInt(4) == 0) {
          vms.remove(vm);
        } else {
          vms.withObjectProperty(vm).put("phase", random.nextInt(5)).put("since", i);
        }
      }
      final TreeSet<String> done = new TreeSet<>();
      random.ints(4, 0, 9).forEach(number -> done.add("vm-" + number));
      final ObjectNode wave = document.withObjectProperty("waves").putObject("w");
      done.forEach(wave.putArray("done")::add);
      result.add(total > 50 && total < 100 && random.nextInt(12) == 0 ? null : document);
    }
    return result;
  }
}
