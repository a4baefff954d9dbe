package org.lentilsail.jobs;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.lentilsail.policy.job.JobRegistry;
import org.lentilsail.policy.job.OrganisationAccount;

/** Reports quotas of organisations in metrics and log lines. Confined to the control thread. */
final class QuotaReport {
  private final ControlContext context;
  private final JobRegistry jobs;
  private final Set<String> loggedUnknown = new HashSet<>();

  QuotaReport(final ControlContext context, final JobRegistry jobs) {
    this.context = context;
    this.jobs = jobs;
  }

  /**
   * Reports the present state.
   *
   * @param held number of jobs that a quota holds back, by organisation
   */
  void report(final Map<String, Integer> held) {
    for (final OrganisationAccount account : jobs.accounts().all()) {
      if (!account.name().isEmpty()) {
        report(account, held.getOrDefault(account.name(), 0));
      }
    }
  }

  private void report(final OrganisationAccount account, final int held) {
    if (account.isConfigured()) {
      loggedUnknown.remove(account.name());
      context.metrics().recordOrganisation(account.name(), account.used(), held);
    } else {
      context.metrics().removeOrganisation(account.name());
      logUnknown(account);
    }
    if (held > 0) {
      context.log().log(
          "organisation-held",
          "organisation",
          account.name(),
          "jobs",
          held,
          "used",
          account.used(),
          "limit",
          account.limit());
    }
  }

  /** Logs once that the jobs of an organisation have no limit. */
  private void logUnknown(final OrganisationAccount account) {
    if (account.isLimitKnown() && loggedUnknown.add(account.name())) {
      context.log().log(
          "organisation-unknown", "organisation", account.name(), "used", account.used());
    }
  }
}
