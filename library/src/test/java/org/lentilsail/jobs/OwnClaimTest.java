package org.lentilsail.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.OutputStream;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.lentilsail.ManualExecutor;
import org.lentilsail.log.DecisionLog;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.time.ManualTimeSource;
import org.lentilsail.store.GrantedLease;
import org.lentilsail.store.ItemChange;
import org.lentilsail.store.ItemPage;
import org.lentilsail.store.KeyValueStore;
import org.lentilsail.store.StoreRetries;
import org.lentilsail.store.StoredItem;
import org.lentilsail.store.TransactionResult;

/**
 * Guards against a leader that forgets all its state, also finished runs that it could not persist
 * yet: its lease had ended in an outage of the store, it claimed the next term, and another write
 * or the watch showed it that term before the answer to its claim.
 */
class OwnClaimTest {
  private static final int CPU_MILLIS = 750;
  private static final long FIRST_REVISION = 10;
  private static final long SECOND_REVISION = 20;

  private final ManualTimeSource time = new ManualTimeSource(1_700_000_000_000L);
  private final ManualExecutor executor = new ManualExecutor(time);
  private final DecisionLog log =
      new DecisionLog(time, new PrintStream(OutputStream.nullOutputStream()));
  private final List<String> events = new ArrayList<>();
  private final Deque<CompletableFuture<TransactionResult>> claims = new ArrayDeque<>();
  private final Election election =
      new Election(
          store(),
          "d1",
          executor,
          time,
          log,
          Duration.ofMillis(1_200),
          new CapacityPreference(CPU_MILLIS),
          new RecordingListener(),
          new StoreRetries(executor, time));
  private boolean leaseAlive = true;
  private boolean readsFail;
  private long grantedLeases;

  /** How a newer term is seen before the outcome of the claim is known. */
  private enum Sight {
    WRITE {
      @Override
      void of(final OwnClaimTest test, final String holder) {
        test.election.superseded();
      }
    },
    WATCH {
      @Override
      void of(final OwnClaimTest test, final String holder) {
        test.election.onChange(
            new ItemChange(
                StoreKeys.TERM,
                Optional.of(termItem(2, holder, SECOND_REVISION)),
                SECOND_REVISION));
      }
    };

    abstract void of(OwnClaimTest test, String holder);
  }

  @BeforeEach
  void claimAgainAfterOutage() {
    election.start();
    executor.advance(Duration.ofMillis(100));
    claims.remove().complete(new TransactionResult(true, FIRST_REVISION, List.of()));
    leaseAlive = false;
    executor.advance(Duration.ofMillis(400));
    assertThat(claims.size(), is(1));
  }

  @AfterEach
  void close() {
    log.close();
  }

  @ParameterizedTest
  @EnumSource
  void ownTermSeenBeforeAnswerKeepsState(final Sight sight) {
    sight.of(this, "d1");
    answer(new TransactionResult(true, SECOND_REVISION, List.of()));
    assertThat(events, is(List.of("elected 1 false", "elected 2 true")));
  }

  @ParameterizedTest
  @EnumSource
  void termOfAnotherDaemonEndsLeadership(final Sight sight) {
    sight.of(this, "d2");
    answer(new TransactionResult(false, 0, List.of(termItem(2, "d2", SECOND_REVISION))));
    assertThat(events, is(List.of("elected 1 false", "lost")));
  }

  @Test
  void newerTermEndsLeadershipIfClaimIsNotConfirmed() {
    election.superseded();
    readsFail = true;
    claims
        .remove()
        .completeExceptionally(
            new LentilsailException(ErrorCode.OUTCOME_UNKNOWN, "no answer", "read back"));
    executor.advance(Duration.ofMillis(50));
    assertThat(events, is(List.of("elected 1 false", "lost")));
  }

  /**
   * Guards against state that is forgotten as the answer to the own claim and its read were lost.
   */
  @Test
  void ownTermOfUnconfirmedClaimKeepsState() {
    Sight.WATCH.of(this, "d1");
    readsFail = true;
    claims
        .remove()
        .completeExceptionally(
            new LentilsailException(ErrorCode.OUTCOME_UNKNOWN, "no answer", "read back"));
    executor.advance(Duration.ofMillis(50));
    readsFail = false;
    executor.advance(Duration.ofMillis(2_000));
    assertThat(claims.size(), is(1));
    answer(new TransactionResult(true, SECOND_REVISION + 10, List.of()));
    assertThat(events, is(List.of("elected 1 false", "elected 3 true")));
  }

  private void answer(final TransactionResult result) {
    claims.remove().complete(result);
    executor.advance(Duration.ofMillis(10));
  }

  /** Records what the election reports. */
  private final class RecordingListener implements TermListener {
    @Override
    public void elected(final Term term, final boolean uninterrupted) {
      events.add("elected " + term.number() + ' ' + uninterrupted);
    }

    @Override
    public void leadershipConfirmed() {}

    @Override
    public void leadershipLost() {
      events.add("lost");
    }
  }

  private KeyValueStore store() {
    return (KeyValueStore)
        Proxy.newProxyInstance(
            KeyValueStore.class.getClassLoader(),
            new Class<?>[] {KeyValueStore.class},
            (proxy, method, arguments) ->
                switch (method.getName()) {
                  case "range" ->
                      CompletableFuture.completedFuture(new ItemPage(List.of(), false, 1));
                  case "grantLease" -> {
                    grantedLeases++;
                    yield CompletableFuture.completedFuture(new GrantedLease(grantedLeases, 1_200));
                  }
                  case "commit" -> {
                    final CompletableFuture<TransactionResult> claim = new CompletableFuture<>();
                    claims.add(claim);
                    yield claim;
                  }
                  case "get" ->
                      readsFail
                          ? CompletableFuture.failedFuture(
                              new LentilsailException(
                                  ErrorCode.PLATFORM_UNAVAILABLE, "no answer", "try again"))
                          : CompletableFuture.completedFuture(Optional.empty());
                  case "renewLease" -> CompletableFuture.completedFuture(leaseAlive);
                  default -> new CompletableFuture<>();
                });
  }

  private static StoredItem termItem(final long number, final String daemon, final long revision) {
    return new StoredItem(
        StoreKeys.TERM, Documents.write(new TermDocument(number, daemon, CPU_MILLIS)), revision);
  }
}
