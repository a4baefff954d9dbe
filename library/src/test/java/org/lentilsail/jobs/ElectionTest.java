package org.lentilsail.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.io.OutputStream;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.lentilsail.ManualExecutor;
import org.lentilsail.log.DecisionLog;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.time.ManualTimeSource;
import org.lentilsail.store.GrantedLease;
import org.lentilsail.store.ItemPage;
import org.lentilsail.store.KeyValueStore;
import org.lentilsail.store.StoreRetries;
import org.lentilsail.store.StoredItem;

/**
 * Guards against a daemon that writes in the term of another leader: its claim was not answered, it
 * read back its own leader item, and by the time of the second read another daemon had claimed the
 * next term. Progress that it wrote then was confirmed, the finished runs were acknowledged, and
 * the leader of that term, which had read the progress before, ran the tasks again.
 */
class ElectionTest {
  private static final long LEASE = 7;
  private static final long CLAIM_REVISION = 10;

  private final ManualTimeSource time = new ManualTimeSource(1_700_000_000_000L);
  private final ManualExecutor executor = new ManualExecutor(time);
  private final DecisionLog log =
      new DecisionLog(time, new PrintStream(OutputStream.nullOutputStream()));
  private final List<Term> elected = new ArrayList<>();
  private StoredItem term;

  @AfterEach
  void close() {
    log.close();
  }

  @Test
  void claimThatIsReadBackWholeSucceeds() {
    term = termItem(1, "d1", CLAIM_REVISION);
    claim();
    assertThat(elected, is(List.of(new Term(1, CLAIM_REVISION))));
  }

  @Test
  void claimIsNotTakenForTermOfNextLeader() {
    term = termItem(2, "d2", CLAIM_REVISION + 5);
    claim();
    assertThat(elected, is(empty()));
  }

  private void claim() {
    final StoreRetries retries = new StoreRetries(executor, time);
    new Election(
            store(),
            "d1",
            executor,
            time,
            log,
            Duration.ofMillis(1_200),
            new CapacityPreference(750),
            new RecordingListener(),
            retries)
        .start();
    executor.advance(Duration.ofSeconds(1));
  }

  /** Records the terms of this daemon. */
  private final class RecordingListener implements TermListener {
    @Override
    public void elected(final Term newTerm, final boolean uninterrupted) {
      elected.add(newTerm);
    }

    @Override
    public void leadershipConfirmed() {}

    @Override
    public void leadershipLost() {}
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
                  case "grantLease" ->
                      CompletableFuture.completedFuture(new GrantedLease(LEASE, 1_200));
                  case "commit" -> CompletableFuture.failedFuture(noAnswer());
                  case "get" ->
                      CompletableFuture.completedFuture(
                          Optional.of(arguments[0].equals(StoreKeys.TERM) ? term : leaderItem()));
                  case "renewLease" -> CompletableFuture.completedFuture(true);
                  default -> new CompletableFuture<>();
                });
  }

  private static StoredItem leaderItem() {
    return new StoredItem(
        StoreKeys.LEADER, ("d1/" + LEASE).getBytes(StandardCharsets.UTF_8), CLAIM_REVISION);
  }

  private static StoredItem termItem(final long number, final String daemon, final long revision) {
    return new StoredItem(
        StoreKeys.TERM, Documents.write(new TermDocument(number, daemon, 750)), revision);
  }

  private static LentilsailException noAnswer() {
    return new LentilsailException(ErrorCode.OUTCOME_UNKNOWN, "no answer", "read back");
  }
}
