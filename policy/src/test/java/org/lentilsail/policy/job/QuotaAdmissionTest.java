package org.lentilsail.policy.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.lentilsail.policy.job.JobFixture.gang;
import static org.lentilsail.policy.job.JobFixture.step;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.job.JobConfiguration;
import org.lentilsail.model.job.JobSpec;
import org.lentilsail.model.job.Organisation;
import org.lentilsail.model.job.Resources;
import org.lentilsail.model.job.StepSpec;
import org.lentilsail.model.job.SubmittedJob;

/** Guards against an accepted job that can never run, and against a rejection of one that can. */
class QuotaAdmissionTest {
  private static final String ACME = "acme";

  @ParameterizedTest
  @CsvSource({"3000, 0", "0, 3000", "3000, 3000", "0, 0"})
  void acceptsJobThatFitsAlone(final long cpu, final long memory) {
    check(ACME, new Resources(cpu, memory, 0), step(99, 3_000, 9), gang(3));
  }

  @ParameterizedTest
  @CsvSource({"2999, 0", "0, 2999", "2999, 9999"})
  void rejectsGangAndTaskThatCanNeverFit(final long cpu, final long memory) {
    final Resources limit = new Resources(cpu, memory, 0);
    for (final StepSpec step :
        List.of(gang(3), StepSpecBuilder.tasks(1).demand(3_000, 3_000).build())) {
      final LentilsailException error =
          assertThrows(LentilsailException.class, () -> check(ACME, limit, step(1, 1, 9), step));
      assertThat(error.code(), is(ErrorCode.INVALID_INPUT));
      assertThat(error.getMessage(), containsString("step 1"));
      assertThat(error.remedy(), containsString("raise the limit"));
    }
  }

  /** The demand of all members together exceeds the range of a long. */
  @Test
  void rejectsGangOfHugeTasks() {
    final Resources largest = new Resources((1L << 53) - 1, 0, 0);
    final StepSpec huge =
        new StepSpec(
            2_048, largest, 1, List.of(), false, true, false, "", "", 0, false, false, "", 0, false,
            0);
    assertThrows(LentilsailException.class, () -> check(ACME, largest, huge));
  }

  @Test
  void limitsNoJobOfUnknownOrganisationOrWithoutConfiguration() {
    check("", new Resources(1, 1, 0), step(1, 9_000, 9));
    check("removed", new Resources(1, 1, 0), step(1, 9_000, 9));
    QuotaAdmission.requireFits(job(ACME, step(1, 9_000, 9)), JobConfiguration.empty());
  }

  private static void check(
      final String organisation, final Resources limit, final StepSpec... steps) {
    final Organisation acme = new Organisation(ACME, List.of(), 0, limit);
    QuotaAdmission.requireFits(
        job(organisation, steps), new JobConfiguration(1, List.of(), List.of(), 0, List.of(acme)));
  }

  private static SubmittedJob job(final String organisation, final StepSpec... steps) {
    final JobSpec spec = new JobSpec("0000000000000001", "work", List.of(steps), 0, 0, 0);
    return new SubmittedJob("holds", JobFixture.BOOKING, 0, spec, null, organisation);
  }
}
