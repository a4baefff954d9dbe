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

/** Guards against tasks that fill a worker up and push a serving task over its target. */
class BestEffortThrottleTest {
  private final JobFixture fixture = new JobFixture();
  private WorkerState worker;
  private TaskRun serving;
  private TaskRun filling;

  @BeforeEach
  void runBoth() {
    worker = fixture.worker("w1", BOOKING);
    fixture.submit("holds", 0, JobFixture.serving(100), JobFixture.filling());
    final List<RunCommand.Start> starts = fixture.place(0);
    serving = starts.get(0).run();
    filling = starts.get(1).run();
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
  void followsTheTailOfTheServingTask(final long tail, final int before, final int after) {
    serving.recordMeasurement(tail, 100, SECOND);
    filling.recordMeasurement(1_000, before, SECOND);
    BestEffortThrottle.decide(worker, -SECOND, SECOND);
    assertThat(filling.cpuLimitPercent(), is(after));
  }

  @Test
  void waitsForNewFiguresBetweenChanges() {
    serving.recordMeasurement(150, 100, SECOND);
    assertThat(BestEffortThrottle.decide(worker, SECOND, SECOND + SECOND / 2).isEmpty(), is(true));
  }
}
