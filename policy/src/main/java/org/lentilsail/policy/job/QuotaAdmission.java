package org.lentilsail.policy.job;

import java.util.Optional;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.job.JobConfiguration;
import org.lentilsail.model.job.Organisation;
import org.lentilsail.model.job.StepSpec;
import org.lentilsail.model.job.SubmittedJob;

/** Rejects submitted jobs that the quota of their organisation can never permit to run. */
public final class QuotaAdmission {
  private QuotaAdmission() {}

  /**
   * Checks each step of a job against the limit of its organisation. A job without organisation, or
   * of one that the configuration lacks, has no limit.
   *
   * @param job the submitted job
   * @param configuration the configuration by which the job was submitted
   * @throws LentilsailException if a task of a step, or a whole gang, needs more than the limit
   */
  public static void requireFits(final SubmittedJob job, final JobConfiguration configuration) {
    final Optional<Organisation> organisation = configuration.organisation(job.organisation());
    if (organisation.isEmpty()) {
      return;
    }
    int number = 0;
    for (final StepSpec step : job.spec().steps()) {
      if (!OrganisationAccount.fits(step, organisation.get().limit())) {
        throw new LentilsailException(
            ErrorCode.INVALID_INPUT,
            "step %d can never start: %s %s, and the limit of the organisation is %s"
                .formatted(
                    number,
                    step.gang()
                        ? "it starts " + step.count() + " tasks at once, each with"
                        : "a task needs",
                    step.demand(),
                    organisation.get().limit()),
            "request less for each task"
                + (step.gang() ? ", use a smaller gang," : "")
                + " or have the operator raise the limit of the organisation");
      }
      number++;
    }
  }
}
