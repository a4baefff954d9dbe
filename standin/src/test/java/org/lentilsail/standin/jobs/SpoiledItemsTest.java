package org.lentilsail.standin.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.lentilsail.standin.jobs.SimulatedDeployment.step;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lentilsail.jobs.JobNode;
import org.lentilsail.jobs.SubmitOutcome;
import org.lentilsail.model.job.JobSpec;
import org.lentilsail.model.job.JobState;
import org.lentilsail.model.job.SubmittedJob;

/**
 * Guards against a leader that never opens, or that ends, because another writer has spoiled an
 * item of lentilsail in the store.
 */
class SpoiledItemsTest {
  private static final String JOB = "00000000000000a1";

  private SimulatedDeployment deployment;
  private JobNode first;
  private JobNode second;

  @BeforeEach
  void start() {
    deployment = new SimulatedDeployment(task -> 300);
    deployment.startWorker("w1");
    final List<JobNode> nodes = deployment.startNodes("d1", "d2");
    first = nodes.get(0);
    second = nodes.get(1);
  }

  @AfterEach
  void noTaskRanTwice() {
    deployment.closeAndCheckRuns();
  }

  /**
   * Guards against a stored job that ends each leader that reads it, and so keeps all others from
   * running (review/6). Callers are refused such a job; an earlier version accepted it.
   */
  @Test
  void nextLeaderSetsAsideJobThatIsTooLarge() {
    final String large = "00000000000000b1";
    final JobSpec spec =
        new JobSpec(large, "work", Collections.nCopies(30, step(100_000)), 0, 0, 0);
    deployment.store.put("in/" + large + "/s", json(deployment.submitted("holds", spec)));
    deployment.advance(Duration.ofMillis(500));
    first.resign();
    deployment.advance(Duration.ofMillis(500));
    deployment.submit(second, JOB, step(2));
    deployment.advance(Duration.ofSeconds(8));
    assertThat(deployment.state(second, JOB), is(Optional.of(JobState.COMPLETED)));
    assertThat(deployment.state(second, large), is(Optional.of(JobState.PENDING)));
    assertThat(deployment.cancel(second, large), is(SubmitOutcome.ACCEPTED));
  }

  /**
   * Guards against sound workers that get no work because of one whose address cannot be used, and
   * against a leader that never opens because of it (review/10).
   */
  @ParameterizedTest
  @CsvSource({"a-odd, false", "a-odd, true", "x-odd, false", "x-odd, true"})
  void workerThatCannotBeUsedDoesNotHoldUpOthers(final String odd, final boolean newLeader) {
    deployment.workers.makeUnusable(odd);
    deployment.startWorker(odd);
    for (int i = 0; i < 8; i++) {
      deployment.startWorker("m" + i);
    }
    deployment.advance(Duration.ofSeconds(1));
    if (newLeader) {
      first.resign();
      deployment.advance(Duration.ofMillis(500));
    }
    deployment.submitScheduled(second, JOB, Duration.ofMillis(500), step(60));
    deployment.advance(Duration.ofSeconds(8));
    assertThat(deployment.state(second, JOB), is(Optional.of(JobState.COMPLETED)));
  }

  private static byte[] json(final SubmittedJob job) {
    try {
      return new ObjectMapper().writeValueAsBytes(job);
    } catch (final JsonProcessingException error) {
      throw new IllegalStateException(error);
    }
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "wave/x | {'machines':['m0']}",
        "wave/1 | {'machines':[null]}",
        "wave/1 | []",
        "roster | {'workers':[{'id':'w9','service':'s','host':'10.0.0.9','port':70000}]}",
        "roster | {'workers':[null]}",
        "roster | {'workers':7}",
        "machine-orders | {'unanswered':null,'answered':null}",
        "machine-orders | {'unanswered':{'m0':'w9'},'answered':[],'remainingMillis':{'m0':-7}}",
        "at/w9 | {'tasks':['x','1.2.3.99999999999']}",
        "at/w9 | 1e400",
        "waiting | {'jobs':{'holds':1e400}}",
        "lead/offer | {'term':'x'}",
        "lead/term | spoiled",
        "lead/term | {'term':9223372036854775807,'holder':'d9','processor':750}",
        "in/short | {}",
        "in/00000000000000b1/s | {'queue':'holds','service':'booking','spec':null}",
        "in/00000000000000b1/s | {'queue':'q','service':'s','spec':{'id':'x','steps':[]}}",
        "p/00000000000000a1 | {'state':null,'steps':[]}",
        "p/00000000000000a1 | {'state':'RUNNING','steps':[{'occurrence':2147483646,'step':0,"
            + "'doneBits':[],'failures':{},'checkpoints':{}}]}",
        "p/00000000000000a1 | {'state':'RUNNING','steps':[{'occurrence':0,'step':9,'doneBits':[],"
            + "'failures':{},'checkpoints':{}}]}"
      })
  void nextLeaderOpensAndRunsJobs(final String key, final String value) {
    deployment.store.put(key, value.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
    deployment.advance(Duration.ofMillis(500));
    first.resign();
    deployment.advance(Duration.ofMillis(500));
    deployment.submit(second, JOB, step(2));
    deployment.advance(Duration.ofSeconds(8));
    assertThat(deployment.state(second, JOB), is(Optional.of(JobState.COMPLETED)));
  }
}
