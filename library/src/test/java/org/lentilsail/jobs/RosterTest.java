package org.lentilsail.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.OutputStream;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lentilsail.ManualExecutor;
import org.lentilsail.log.DecisionLog;
import org.lentilsail.model.job.Resources;
import org.lentilsail.model.job.WorkerEntry;
import org.lentilsail.model.time.ManualTimeSource;
import org.lentilsail.store.KeyValueStore;
import org.lentilsail.store.StoredItem;
import org.lentilsail.store.TransactionResult;

class RosterTest {
  private static final Duration AFTER_RETRY_DELAY = Duration.ofMillis(150);

  private final ManualTimeSource time = new ManualTimeSource(1_700_000_000_000L);
  private final ManualExecutor executor = new ManualExecutor(time);
  private final List<CompletableFuture<TransactionResult>> commits = new ArrayList<>();
  private final List<String> admitted = new ArrayList<>();
  private final Roster roster =
      new Roster(context(), new LeaderItems(new Term(1, 1)), this::recordAdmission, () -> {});

  /**
   * Guards against a worker that gets tasks although the roster lacks it: its registry entry
   * changed while the write of the roster was unconfirmed. The next leader then took the worker for
   * a terminated one and started its tasks again.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 5})
  void repeatedReportDoesNotAdmitBeforeRosterIsPersisted(final int reports) {
    for (int i = 0; i < reports; i++) {
      roster.admit(entry("w1", 8_000 + i));
    }
    fail(0);
    roster.admit(entry("w1", 9_000));
    assertThat(admitted, is(empty()));
    applied(1);
    assertThat(admitted, is(List.of("w1@9000")));
  }

  /** Guards against a worker that is admitted although it was removed while the write was sent. */
  @Test
  void removedWorkerIsNotAdmitted() {
    roster.admit(entry("w1", 8_000));
    roster.remove("w1");
    applied(0);
    assertThat(admitted, is(empty()));
  }

  /**
   * Guards against a worker that is never admitted: its write found the term that the daemon was
   * claiming itself, and nothing repeated it in that term.
   */
  @Test
  void writeThatFindsNewerTermIsRepeatedWhileNotClosed() {
    final StoredItem newerTerm = new StoredItem(StoreKeys.TERM, new byte[0], 9);
    roster.admit(entry("w1", 8_000));
    commits.get(0).complete(new TransactionResult(false, 0, List.of(newerTerm)));
    executor.advance(AFTER_RETRY_DELAY);
    applied(1);
    assertThat(admitted, is(List.of("w1@8000")));
  }

  @Test
  void memberOfPersistedRosterIsAdmittedAtOnce() {
    roster.restore(List.of(entry("w1", 8_000)));
    roster.admit(entry("w1", 8_001));
    assertThat(admitted, is(List.of("w1@8001")));
  }

  /** Guards against sound workers that are never admitted after one that fails (review/10). */
  @Test
  void membersAfterOneThatFailsAreAdmitted() {
    roster.admit(entry("odd", 8_000));
    roster.admit(entry("w1", 8_001));
    applied(0);
    roster.admit(entry("w2", 8_002));
    applied(1);
    applied(2);
    assertThat(admitted, is(List.of("w1@8001", "w2@8002")));
  }

  private void recordAdmission(final WorkerEntry entry) {
    if (entry.id().equals("odd")) {
      throw new IllegalArgumentException("hostname can't be null");
    }
    admitted.add(entry.id() + '@' + entry.address().getPort());
  }

  private void fail(final int commit) {
    commits.get(commit).completeExceptionally(new IllegalStateException("no response"));
    executor.advance(AFTER_RETRY_DELAY);
  }

  private void applied(final int commit) {
    commits.get(commit).complete(new TransactionResult(true, 10 + commit, List.of()));
    executor.advance(AFTER_RETRY_DELAY);
  }

  private static WorkerEntry entry(final String id, final int port) {
    return new WorkerEntry(
        id,
        "booking",
        InetSocketAddress.createUnresolved("10.0.0.1", port),
        "north",
        false,
        new Resources(8_000, 8_000, 0),
        List.of(),
        1);
  }

  private ControlContext context() {
    final KeyValueStore store =
        (KeyValueStore)
            Proxy.newProxyInstance(
                KeyValueStore.class.getClassLoader(),
                new Class<?>[] {KeyValueStore.class},
                (proxy, method, arguments) -> {
                  final CompletableFuture<TransactionResult> commit = new CompletableFuture<>();
                  commits.add(commit);
                  return commit;
                });
    return new ControlContext(
        store,
        null,
        null,
        null,
        null,
        executor,
        time,
        new DecisionLog(time, new PrintStream(OutputStream.nullOutputStream())),
        new JobMetrics(new PrometheusRegistry()),
        new ControlBounds(6_000, 2_000, 1_500, 120_000, 3_000, 1_000));
  }
}
