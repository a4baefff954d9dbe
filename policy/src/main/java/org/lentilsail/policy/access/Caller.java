package org.lentilsail.policy.access;

/**
 * The identity of a caller, which determines the jobs that it may read and cancel.
 *
 * @param organisation name of the organisation, empty for none
 * @param seesAllJobs whether the configuration has no organisations, so that no job is hidden
 */
public record Caller(String organisation, boolean seesAllJobs) {
  /** Caller in a deployment whose configuration has no organisations. */
  public static final Caller UNRESTRICTED = new Caller("", true);

  /** Caller of a public queue. */
  public static final Caller ANONYMOUS = new Caller("", false);

  /**
   * Creates a caller of an organisation.
   *
   * @param organisation name of the organisation
   * @return the caller
   */
  public static Caller of(final String organisation) {
    return new Caller(organisation, false);
  }

  /**
   * Returns whether this caller may read and cancel a job.
   *
   * @param jobOrganisation organisation of the job, empty for none
   * @return whether the job is visible
   */
  public boolean sees(final String jobOrganisation) {
    return seesAllJobs || jobOrganisation.isEmpty() || jobOrganisation.equals(organisation);
  }
}
