package org.lentilsail.policy.job;

import org.lentilsail.model.job.Resources;

/** Reports what organisations have in use on all workers. */
public interface OrganisationUsage {
  /**
   * Returns the resources of the runs of an organisation.
   *
   * @param organisation name of the organisation, empty for jobs without one
   * @return demand of all runs that are not known to have ended
   */
  Resources running(String organisation);
}
