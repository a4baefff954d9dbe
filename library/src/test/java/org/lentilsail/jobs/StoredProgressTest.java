package org.lentilsail.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.OutputStream;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lentilsail.ManualExecutor;
import org.lentilsail.log.DecisionLog;
import org.lentilsail.model.job.JobProgress;
import org.lentilsail.model.job.JobSpec;
import org.lentilsail.model.job.JobState;
import org.lentilsail.model.job.StepProgress;
import org.lentilsail.model.job.SubmittedJob;
import org.lentilsail.model.time.ManualTimeSource;
import org.lentilsail.policy.job.Fleet;
import org.lentilsail.policy.job.JobRegistry;
import org.lentilsail.policy.job.StepSpecBuilder;
import org.lentilsail.store.KeyValueStore;
import org.lentilsail.store.StoredItem;
import org.lentilsail.store.Transaction;
import org.lentilsail.store.TransactionResult;

/**
 * Guards against progress that is never stored because one job's is too large, and against finished
 * jobs that come faster than they are removed (findings of the second review).
 */
class StoredProgressTest {
  private static final int TASKS = 10_000;
  private static final int MAX_VALUE_BYTES = 1024 * 1024;
  private static final int EXPIRED_JOBS = 500;

  private final ManualTimeSource time = new ManualTimeSource(1_700_000_000_000L);
  private final ManualExecutor executor = new ManualExecutor(time);
  private final DecisionLog log =
      new DecisionLog(time, new PrintStream(OutputStream.nullOutputStream()));
  private final List<Transaction> commits = new ArrayList<>();
  private final JobRegistry jobs = new JobRegistry();
  private final LeaderItems items = new LeaderItems(new Term(1, 1));

  @AfterEach
  void close() {
    log.close();
  }

  /** What is done is kept; checkpoints go first, then the numbers of failed runs. */
  @ParameterizedTest
  @CsvSource({
    "0, 0, true, true",
    "10, 0, true, true",
    "400, 10, false, true",
    "0, 500, true, false"
  })
  void documentStaysBelowTheSizeOfValue(
      final int checkpointBytes,
      final int failedRuns,
      final boolean keepsCheckpoints,
      final boolean keepsFailures) {
    jobs.accept(submitted("a1"), 0, 0);
    jobs.restore(id("a1"), progress(checkpointBytes, failedRuns), 0);
    jobs.markChanged(jobs.job(id("a1")));

    new ProgressWriter(context(), jobs, items, () -> {}).flush();

    final byte[] document = commits.get(0).writes().get(0).value();
    assertThat(document.length, lessThan(MAX_VALUE_BYTES));
    final StepProgress step = written(document).steps().get(0);
    assertThat(BitSet.valueOf(step.doneBits()).cardinality(), is(TASKS / 2));
    assertThat(step.checkpoints().isEmpty(), is(checkpointBytes == 0 || !keepsCheckpoints));
    assertThat(step.failures().isEmpty(), is(failedRuns == 0 || !keepsFailures));
  }

  /** 75 jobs end in a second at the largest deployment. */
  @Test
  void expiredJobsAreRemovedFasterThanTheyCome() {
    for (int i = 0; i < EXPIRED_JOBS; i++) {
      jobs.accept(submitted("" + i), 0, 0);
      jobs.restore(id("" + i), new JobProgress(JobState.COMPLETED, 1, List.of(), "", 0), 0);
    }
    final Housekeeping housekeeping =
        new Housekeeping(context(), jobs, new CancelledIds(), new RemovedIds(), new Fleet(), items);
    for (int tick = 0; tick < 50; tick++) {
      housekeeping.tick(time.nanos());
      executor.advance(Duration.ofMillis(100));
    }
    assertThat(EXPIRED_JOBS - jobs.all().size(), greaterThan(75 * 5));
  }

  private static JobProgress progress(final int checkpointBytes, final int failedRuns) {
    final BitSet done = new BitSet();
    done.set(0, TASKS / 2);
    final Map<Integer, Integer> failures = new HashMap<>();
    final Map<Integer, List<Integer>> numbers = new HashMap<>();
    final Map<Integer, String> checkpoints = new HashMap<>();
    for (int task = TASKS / 2; task < TASKS; task++) {
      if (failedRuns > 0) {
        failures.put(task, failedRuns);
        numbers.put(task, IntStream.range(0, failedRuns).boxed().toList());
      }
      if (checkpointBytes > 0) {
        checkpoints.put(task, "x".repeat(checkpointBytes));
      }
    }
    final StepProgress step =
        new StepProgress(0, 0, done.toLongArray(), failures, numbers, checkpoints);
    return new JobProgress(JobState.RUNNING, 0, List.of(step), "", 0);
  }

  private static JobProgress written(final byte[] document) {
    return Documents.<JobProgress>read(Documents.PROGRESS, new StoredItem("p/x", document, 1))
        .orElseThrow();
  }

  private static SubmittedJob submitted(final String suffix) {
    final JobSpec spec =
        new JobSpec(id(suffix), "work", List.of(StepSpecBuilder.tasks(TASKS).build()), 0, 0, 0);
    return new SubmittedJob("holds", "booking", 0, spec, null, "");
  }

  private static String id(final String suffix) {
    return "0".repeat(16 - suffix.length()) + suffix;
  }

  private ControlContext context() {
    final KeyValueStore store =
        (KeyValueStore)
            Proxy.newProxyInstance(
                KeyValueStore.class.getClassLoader(),
                new Class<?>[] {KeyValueStore.class},
                (proxy, method, arguments) -> {
                  commits.add((Transaction) arguments[0]);
                  return CompletableFuture.completedFuture(
                      new TransactionResult(true, 10 + commits.size(), List.of()));
                });
    return new ControlContext(
        store,
        null,
        null,
        null,
        null,
        executor,
        time,
        log,
        new JobMetrics(new PrometheusRegistry()),
        new ControlBounds(6_000, 2_000, 1_500, 120_000, 3_000, 1_000));
  }
}
