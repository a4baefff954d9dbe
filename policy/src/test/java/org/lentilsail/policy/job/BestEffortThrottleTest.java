package org.lentilsail.policy.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.lentilsail.policy.job.JobFixture.BOOKING;
import static org.lentilsail.policy.job.JobFixture.SECOND;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against best-effort tasks that push a task on the same worker over its response time
 * target.
 */
class BestEffortThrottleTest {
  private final JobFixture fixture = new JobFixture();
  private WorkerState worker;
  private TaskRun serving;
  private TaskRun bestEffort;

  @BeforeEach
  void runBoth() {
    worker = fixture.worker("w1", BOOKING);
    fixture.submit("holds", 0, JobFixture.withResponseTarget(100), JobFixture.bestEffort());
    final List<RunCommand.Start> starts = fixture.place(0);
    serving = starts.get(0).run();
    bestEffort = starts.get(1).run();
  }

  @ParameterizedTest
  @CsvSource({
    "150, 100, 25",
    "90, 100, 50",
    "90, 20, 0",
    "70, 40, 40",
    "30, 40, 50",
    "30, 95, 100"
  })
  void followsTailResponseTime(final long tailMillis, final int limitBefore, final int limitAfter) {
    serving.recordMeasurement(tailMillis, 100, SECOND);
    bestEffort.recordMeasurement(1_000, limitBefore, SECOND);
    BestEffortThrottle.decide(worker, -SECOND, SECOND);
    assertThat(bestEffort.cpuLimitPercent(), is(limitAfter));
  }

  @Test
  void waitsForNewMeasurementsBetweenChanges() {
    serving.recordMeasurement(150, 100, SECOND);
    assertThat(BestEffortThrottle.decide(worker, SECOND, SECOND + SECOND / 2).isEmpty(), is(true));
  }
}
