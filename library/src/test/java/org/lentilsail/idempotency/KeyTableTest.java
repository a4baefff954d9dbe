package org.lentilsail.idempotency;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lentilsail.entry.EntryResponse;
import org.lentilsail.entry.Outcome;

/** Guards against wrong error codes and unbounded memory use. */
@Timeout(20)
class KeyTableTest {
  private static final long NOW = 1_800_000_000_000L;
  private static final long RETENTION_MILLIS = 1_000_000;

  private final KeyTable table = new KeyTable(RETENTION_MILLIS, 100);

  /** Guards against an error code or an outcome that does not match the time of the key. */
  @ParameterizedTest
  @CsvSource({
    "-3000000, 0, key-owner-unreachable, UNKNOWN",
    "-1500000, 0, key-too-old, UNKNOWN",
    "2001, 0, key-from-future, NOT_RUN",
    "4000000, 0, key-from-future, NOT_RUN",
    "4000000, 3599000, key-owner-unreachable, UNKNOWN"
  })
  void rejectsByKeyTime(
      final long keyOffset, final long clockOffset, final String code, final Outcome outcome) {
    setAllTerms();
    table.removeExpired(NOW);
    final EntryResponse error =
        table.admit(key(keyOffset), "f", NOW + clockOffset).response().join();
    assertThat(new String(error.body(), StandardCharsets.UTF_8), containsString(code));
    assertThat(error.outcome(), is(outcome));
  }

  /** Guards against repeats that run again or get another response, and undetected key reuse. */
  @Test
  void repeatsShareOneRun() {
    setAllTerms();
    final IdempotencyKey key = key(0);
    assertThat(table.admit(key, "f", NOW).run(), is(true));
    final KeyDecision repeat = table.admit(key, "f", NOW);
    assertThat(repeat.run(), is(false));
    assertThat(repeat.response().isDone(), is(false));
    final EntryResponse response = response(Outcome.RAN, 10);
    table.complete(key, response);
    assertThat(repeat.response().join(), is(response));
    assertThat(table.admit(key, "f", NOW).response().join(), is(response));
    assertThat(table.admit(key, "g", NOW).response().join().status(), is(422));
  }

  /** Guards against a key that stays blocked although its request did not run. */
  @Test
  void notRunFreesTheKey() {
    setAllTerms();
    final IdempotencyKey key = key(0);
    table.admit(key, "f", NOW);
    table.complete(key, response(Outcome.NOT_RUN, 0));
    assertThat(table.admit(key, "f", NOW).run(), is(true));
  }

  /** Guards against responses cached beyond the limit, and keys removed with them. */
  @Test
  void discardsOldestResponsesButNoKeys() {
    setAllTerms();
    final IdempotencyKey first = key(0);
    final IdempotencyKey second = key(1);
    table.admit(first, "f", NOW);
    table.complete(first, response(Outcome.RAN, 60));
    table.admit(second, "f", NOW);
    table.complete(second, response(Outcome.RAN, 60));
    assertThat(table.admit(first, "f", NOW).response().join().status(), is(409));
    assertThat(table.admit(first, "f", NOW).response().join().outcome(), is(Outcome.RAN));
    assertThat(table.admit(second, "f", NOW).response().join().status(), is(200));
  }

  private void setAllTerms() {
    for (int range = 0; range < IdempotencyKey.RANGES; range++) {
      table.setTerm(range, NOW - 2_000_000, NOW + 3_600_000);
    }
  }

  private static IdempotencyKey key(final long offset) {
    return IdempotencyKey.create(NOW + offset, new Random(offset));
  }

  private static EntryResponse response(final Outcome outcome, final int bytes) {
    return new EntryResponse(outcome, 200, List.of(), new byte[bytes]);
  }
}
