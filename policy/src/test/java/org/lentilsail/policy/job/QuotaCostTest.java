package org.lentilsail.policy.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThan;
import static org.lentilsail.policy.job.JobFixture.BOOKING;
import static org.lentilsail.policy.job.JobFixture.step;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lentilsail.model.job.Organisation;
import org.lentilsail.model.job.Resources;

/** Guards against a check of the quota, at each start, that searches organisations or runs. */
class QuotaCostTest {
  private static final int FEW_ORGANISATIONS = 20;
  private static final int FEW_RUNS = 10;
  private static final int CHECKS = 20_000;

  /** The fastest of many rounds is hardly affected by other load. */
  private static final int ROUNDS = 50;

  /** A search would cost 100 times as much among 100 times as many organisations or runs. */
  private static final double MAX_RATIO = 10;

  private static double baseline;

  @BeforeAll
  static void measureBaseline() {
    measure(FEW_ORGANISATIONS, FEW_RUNS);
    baseline = measure(FEW_ORGANISATIONS, FEW_RUNS);
  }

  @ParameterizedTest
  @CsvSource({"200, 10", "2000, 10", "20, 1000"})
  void costGrowsWithNeitherOrganisationsNorRuns(final int organisations, final int runs) {
    final double nanos = measure(organisations, runs);
    System.out.printf(
        "check, start and end: %.1f ns with %d organisations and %d runs, %.1f ns with 20 and 10%n",
        nanos, organisations, runs, baseline);
    assertThat(nanos, lessThan(baseline * MAX_RATIO));
  }

  /** Returns the time in ns of a check with the updates for a start and an end. */
  private static double measure(final int organisations, final int runs) {
    final JobFixture fixture = new JobFixture();
    final Resources limit = new Resources(9_000_000, 0, 0);
    fixture.organisations(
        IntStream.rangeClosed(1, organisations)
            .mapToObj(number -> new Organisation("o" + number, List.of(), 0, limit))
            .toArray(Organisation[]::new));
    final WorkerState worker = fixture.worker("w", BOOKING);
    final JobRun job = fixture.submitFor("o" + organisations, "holds", 0, step(runs, 100, 500));
    job.steps().get(0).tasks().forEach(task -> fixture.tracker.start(task, worker, 0, 0));
    long fastest = Long.MAX_VALUE;
    for (int round = 0; round < ROUNDS; round++) {
      final long startedAt = System.nanoTime();
      check(job.steps().get(0));
      fastest = Math.min(fastest, System.nanoTime() - startedAt);
    }
    return (double) fastest / CHECKS;
  }

  private static void check(final StepRun step) {
    for (int i = 0; i < CHECKS; i++) {
      assertThat("held", step.quotaHold() == QuotaHold.NONE);
      step.job().account().add(step.spec().demand());
      step.job().account().subtract(step.spec().demand());
    }
  }
}
