package org.lentilsail.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.lentilsail.policy.job.RunCommand;
import org.lentilsail.policy.job.TaskRun;

/**
 * Guards against the start of a run that was abandoned while its command waited for the store or
 * behind other commands: its task may run elsewhere by then.
 */
class WorkerCommandsTest {
  private static final String JOB = "00000000000000a1";

  private final SessionFixture fixture = new SessionFixture();

  @AfterEach
  void close() {
    fixture.close();
  }

  @Test
  void startsExpectedRun() {
    fixture.session.send(new RunCommand.Start(fixture.startedRun(JOB)));
    assertThat(fixture.workers.starts, is(1));
  }

  @Test
  void doesNotStartAbandonedRun() {
    final TaskRun run = fixture.startedRun(JOB);
    fixture.runTracker.workerLost(fixture.worker, fixture.time.nanos());
    fixture.session.send(new RunCommand.Start(run));
    assertThat(fixture.workers.starts, is(0));
  }
}
