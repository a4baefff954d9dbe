package org.lentilsail.model.record;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.arrayContaining;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.json.JsonText;

/** Guards against updates that lose fields, and against the acceptance of invalid records. */
class RecordMergerTest {
  private static final Records EXISTING =
      new Records(
          Map.of("green", new PoolSpec("green", false, 0, 0, "")),
          Map.of("tee", new ServiceSpec("tee", "green", "/", 1, 1, 1, Map.of())),
          Map.of(),
          Map.of(),
          Map.of());

  /**
   * Guards against loss or restoration of fields when clients of different versions update a
   * record.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '~',
      value = {
        "service|2|{'pool':'green','timeout':{'millis':5,'idle':7},'queueLimit':9,'new':1}"
            + "|1|{'pool':'green','timeoutMillis':6}"
            + "|{'pool':'green','timeout':{'millis':6,'idle':7},'queueLimit':9,'new':1}",
        "service|2|{'pool':'green','timeout':{'millis':5},'probePath':'/p','queueLimit':9}"
            + "|1|{'pool':'green','queueLimit':null}|{'pool':'green'}",
        "service|1|{'pool':'green','timeoutMillis':5}|2|{'pool':'green','shortMillis':9}"
            + "|{'pool':'green','shortMillis':9}",
        "service|3|{'pool':'green','later':{'a':1},'gone':2}|2|{'pool':'green','gone':null}"
            + "|{'pool':'green','later':{'a':1}}",
        "budget|2|{'service':'tee','maxUnavailable':{'percent':20},'minimumPerZone':1}"
            + "|1|{'service':'tee'}"
            + "|{'service':'tee','maxUnavailable':{'percent':20},'minimumPerZone':1}",
        "budget|2|{'service':'tee','maxUnavailable':{'percent':20},'minimumPerZone':1}"
            + "|1|{'service':'tee','maxUnavailable':2}"
            + "|{'service':'tee','maxUnavailable':{'count':2},'minimumPerZone':1}",
        "pool|2|{'spare':true,'team':'greens','maximumVms':4}|1|{'minimumVms':2}"
            + "|{'minimumVms':2,'team':'greens','maximumVms':4}",
        "pool|2|{'spare':true,'team':'greens'}|2|{'minimumVms':2}|{'minimumVms':2}"
      })
  void keepsFieldsUnknownToTheWriter(
      final String kind,
      final int storedVersion,
      final String storedSpec,
      final int version,
      final String spec,
      final String expected) {
    final RecordKey key = new RecordKey(RecordKey.kindOf(kind).orElseThrow(), "x");
    final StoredRecord stored =
        StoredRecord.parse(key, record(kind, "x", storedVersion, storedSpec));
    final StoredRecord updated =
        RecordMerger.apply(
            Optional.of(stored), record(kind, "x", version, spec), EXISTING, "mark-2");
    assertThat(updated.spec(), is(json(expected)));
    assertThat(updated.schemaVersion(), is(Math.max(storedVersion, version)));
  }

  /** Guards against a reader that gets fields of another version. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '~',
      value = {
        "service|2|{'pool':'green','timeout':{'millis':5,'idle':7},'new':1}"
            + "|1|{'pool':'green','timeoutMillis':5}",
        "service|1|{'pool':'green','timeoutMillis':5}|2|{'pool':'green','timeout':{'millis':5}}",
        "budget|2|{'service':'tee','maxUnavailable':{'count':2}}"
            + "|1|{'service':'tee','maxUnavailable':2}",
        "budget|2|{'service':'tee','maxUnavailable':{'percent':2}}|1|{'service':'tee'}",
        "pool|3|{'spare':true,'team':'greens','later':1}|2|{'spare':true,'team':'greens'}"
      })
  void convertsForTheReader(
      final String kind,
      final int storedVersion,
      final String storedSpec,
      final int version,
      final String expected) {
    final RecordKey key = new RecordKey(RecordKey.kindOf(kind).orElseThrow(), "x");
    final StoredRecord stored =
        StoredRecord.parse(key, record(kind, "x", storedVersion, storedSpec));
    assertThat(stored.toVersion(version).spec(), is(json(expected)));
  }

  /** Guards against faults that are reported one at a time or without a remedy. */
  @Test
  void listsAllFaultsAtOnce() {
    final LentilsailException error =
        rejection(
            "{'kind':'service','schemaVersion':2,'name':'lentilsail','names':1,'spec':{"
                + "'pool':'gren','timeout':{'millis':0,'secs':1},'queuLimit':3,"
                + "'teams':{'a':0},'probePath':'x'}}");
    assertThat(error.code(), is(ErrorCode.INVALID_INPUT));
    assertThat(
        error.getMessage().split("\n"),
        arrayContaining(
            "service/lentilsail has 8 faults:",
            "name is \"lentilsail\": this name is reserved; choose another one",
            "names is 1: this field is unknown; did you mean name?",
            "spec.probePath is \"x\": write a path that begins with / and has no spaces",
            "spec.timeout.millis is 0: write a whole number from 1 to 86400000",
            "spec.timeout.secs is 1: this field is unknown; did you mean millis?",
            "spec.teams.a is 0: write a whole number from 1 to 1000000",
            "spec.queuLimit is 3: this field is unknown; did you mean queueLimit?",
            "spec.pool is \"gren\": no pool has this name; did you mean green?"));
  }

  /** Guards against records whose fields are valid alone but not together. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '~',
      value = {
        "{'kind':'budget','schemaVersion':2,'name':'x','spec':{'service':'tee',"
            + "'maxUnavailable':{'count':1,'percent':5}}}",
        "{'kind':'budget','schemaVersion':1,'name':'x','spec':{'service':'tee'}}",
        "{'kind':'budget','schemaVersion':1,'name':'x','spec':{'service':'te','maxUnavailable':1}}",
        "{'kind':'pool','schemaVersion':2,'name':'x','spec':{'minimumVms':3,'maximumVms':2}}",
        "{'kind':'pool','schemaVersion':3,'name':'x','spec':{}}",
        "{'kind':'pool','schemaVersion':1,'name':'x','spec':{'team':'a'}}",
        "{'kind':'pool','schemaVersion':1,'name':'X','spec':{}}",
        "{'kind':'wave','schemaVersion':1,'name':'x','spec':{'pools':[]}}",
        "{'kind':'wave','schemaVersion':1,'name':'x','spec':{'pools':['green','green']}}",
        "{'kind':'wave','schemaVersion':1,'name':'x','spec':{'pools':['green','other']}}",
        "{'kind':'hold','schemaVersion':1,'name':'x','spec':{}}",
        "{'kind':'pool','schemaVersion':1,'name':'x'}",
        "[]"
      })
  void rejects(final String text) {
    assertThat(rejection(text).code(), is(ErrorCode.INVALID_INPUT));
  }

  /** Guards against an older client that violates a constraint on fields that it does not know. */
  @Test
  void checksTheMergedRecord() {
    final RecordKey key = new RecordKey(RecordKind.POOL, "x");
    final StoredRecord stored = StoredRecord.parse(key, record("pool", "x", 2, "{'maximumVms':4}"));
    assertThrows(
        LentilsailException.class,
        () ->
            RecordMerger.apply(
                Optional.of(stored),
                record("pool", "x", 1, "{'minimumVms':5}"),
                EXISTING,
                "mark-2"));
  }

  /** Guards against write IDs that are dropped too early or kept without limit. */
  @Test
  void keepsTheIdsOfTheEightPreviousWrites() {
    Optional<StoredRecord> stored = Optional.empty();
    for (int i = 0; i < 11; i++) {
      stored =
          Optional.of(RecordMerger.apply(stored, record("pool", "x", 1, "{}"), EXISTING, "m" + i));
    }
    final StoredRecord last = StoredRecord.parse(stored.get().key(), stored.get().json());
    assertThat(last.writeId(), is("m10"));
    assertThat(last.earlierWriteIds(), contains("m9", "m8", "m7", "m6", "m5", "m4", "m3", "m2"));
    assertThat(last.containsWriteId("m2"), is(true));
    assertThat(last.containsWriteId("m1"), is(false));
  }

  /** Guards against one invalid document that prevents the others from taking effect. */
  @Test
  void skipsOnlyUnreadableDocuments() {
    final RecordsBuilder builder =
        new RecordsBuilder()
            .add("config/pool/green", record("pool", "green", 3, "{'spare':true,'later':1}"))
            .add("config/pool/bad", record("pool", "bad", 2, "{'spare':'yes'}"))
            .add("config/pool/worse", json("[1]"))
            .add("config/court/other", json("{}"))
            .add("control/fleet/south", json("{}"))
            .add("config/service/tee", record("service", "tee", 1, "{'pool':'green'}"));
    assertThat(builder.build().pools(), is(Map.of("green", new PoolSpec("green", true, 0, 0, ""))));
    assertThat(builder.build().services().get("tee").timeoutMillis(), is(30_000L));
    assertThat(
        builder.unreadable().keySet(),
        is(Set.of("config/pool/bad", "config/pool/worse", "config/court/other")));
  }

  private static LentilsailException rejection(final String text) {
    return assertThrows(
        LentilsailException.class,
        () -> RecordMerger.apply(Optional.empty(), json(text), EXISTING, "mark-1"));
  }

  private static JsonNode record(
      final String kind, final String name, final int version, final String spec) {
    return json(
        "{'kind':'%s','schemaVersion':%d,'name':'%s','spec':%s}"
            .formatted(kind, version, name, spec));
  }

  private static JsonNode json(final String text) {
    return JsonText.parse(text.replace('\'', '"'), "test", ErrorCode.INVALID_INPUT);
  }
}
