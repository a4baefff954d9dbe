package org.lentilsail.policy.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The known jobs of one organisation in order of acceptance, and which of them are in excess. */
final class OrganisationSubmissions {
  /** Length in ms of the sliding window over which the submissions are counted. */
  private static final long WINDOW_MILLIS = 5_000;

  private static final Comparator<JobRun> BY_ACCEPTANCE =
      Comparator.comparingLong(OrganisationSubmissions::acceptedMillis).thenComparing(JobRun::id);

  private final List<JobRun> jobs = new ArrayList<>();
  private final Set<JobRun> excess = new HashSet<>();
  private int allowed = Integer.MAX_VALUE;
  private boolean sorted = true;

  /**
   * Sets the entitlement.
   *
   * @param weight jobs a second, 0 for no limit
   */
  void weight(final double weight) {
    final int perWindow = (int) (weight * WINDOW_MILLIS / 1000);
    allowed = weight > 0 ? Math.max(1, perWindow) : Integer.MAX_VALUE;
    sorted = false;
  }

  void add(final JobRun job) {
    final int size = jobs.size();
    final boolean isLast = size == 0 || BY_ACCEPTANCE.compare(jobs.get(size - 1), job) < 0;
    jobs.add(job);
    if (sorted && isLast) {
      evaluate(size);
    } else {
      sorted = false;
    }
  }

  void remove(final JobRun job) {
    jobs.remove(job);
    excess.remove(job);
  }

  boolean isEmpty() {
    return jobs.isEmpty();
  }

  /** Returns whether more jobs than allowed were accepted in the window that ends with a job. */
  boolean isInExcess(final JobRun job) {
    if (!sorted) {
      sorted = true;
      jobs.sort(BY_ACCEPTANCE);
      excess.clear();
      for (int i = 0; i < jobs.size(); i++) {
        evaluate(i);
      }
    }
    return excess.contains(job);
  }

  private void evaluate(final int index) {
    if (index >= allowed
        && acceptedMillis(jobs.get(index)) - acceptedMillis(jobs.get(index - allowed))
            < WINDOW_MILLIS) {
      excess.add(jobs.get(index));
    }
  }

  private static long acceptedMillis(final JobRun job) {
    return job.submitted().acceptedMillis();
  }
}
