package org.lentilsail.policy.job;

import java.util.HashMap;
import java.util.Map;
import org.lentilsail.model.job.JobConfiguration;
import org.lentilsail.model.job.Organisation;

/**
 * Determines the jobs that an organisation submitted beyond its weight. Only the accepted times
 * that are persisted with the jobs count, so that every leader gets the same result.
 */
final class ExcessJobs {
  private final Map<String, OrganisationSubmissions> organisations = new HashMap<>();
  private JobConfiguration configuration = JobConfiguration.empty();

  /** Applies the weights of a configuration, also to known jobs. */
  void configuration(final JobConfiguration newConfiguration) {
    configuration = newConfiguration;
    organisations.forEach((name, submissions) -> submissions.weight(weightOf(name)));
  }

  void add(final JobRun job) {
    final String name = job.submitted().organisation();
    if (!name.isEmpty()) {
      organisations.computeIfAbsent(name, this::create).add(job);
    }
  }

  void remove(final JobRun job) {
    final String name = job.submitted().organisation();
    final OrganisationSubmissions submissions = organisations.get(name);
    if (submissions != null) {
      submissions.remove(job);
      if (submissions.isEmpty()) {
        organisations.remove(name);
      }
    }
  }

  /** Returns whether a job was submitted beyond the weight of its organisation. */
  boolean contains(final JobRun job) {
    final String name = job.submitted().organisation();
    final OrganisationSubmissions submissions = name.isEmpty() ? null : organisations.get(name);
    return submissions != null && submissions.isInExcess(job);
  }

  private OrganisationSubmissions create(final String name) {
    final OrganisationSubmissions submissions = new OrganisationSubmissions();
    submissions.weight(weightOf(name));
    return submissions;
  }

  /** Returns the weight of an organisation; one that the configuration lacks has no limit. */
  private double weightOf(final String name) {
    return configuration.organisation(name).map(Organisation::weight).orElse(0.0);
  }
}
