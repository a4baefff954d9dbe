package org.lentilsail.jobs;

/** Keys of the items that job control persists in the store. */
final class StoreKeys {
  /** Submissions and cancellations; written by every daemon, watched by the leader. */
  static final String INPUT = "in/";

  /** Progress of jobs; written by the leader. */
  static final String PROGRESS = "p/";

  /** Leader election; watched by every daemon. */
  static final String ELECTION = "lead/";

  /** The current leader; removed when its lease ends. */
  static final String LEADER = "lead/holder";

  /** The latest term; never removed. */
  static final String TERM = "lead/term";

  /** Takeover offer of a daemon with more CPU than the leader. */
  static final String OFFER = "lead/offer";

  /** Workers that may have been assigned tasks. */
  static final String ROSTER = "roster";

  /** Tasks that a worker may have been assigned, by worker; written by the leader. */
  static final String PLACEMENTS = "at/";

  /** Number of waiting jobs by queue. */
  static final String WAITING = "waiting";

  /** Machines with recent commands. */
  static final String MACHINE_COMMANDS = "machine-orders";

  /** Maintained machines by wave. */
  static final String WAVES = "wave/";

  private static final String SUBMISSION_SUFFIX = "/s";

  private static final String CANCEL_SUFFIX = "/x";

  private StoreKeys() {}

  static String submission(final String id) {
    return INPUT + id + SUBMISSION_SUFFIX;
  }

  static String cancellation(final String id) {
    return INPUT + id + CANCEL_SUFFIX;
  }

  static String progress(final String id) {
    return PROGRESS + id;
  }

  static String placement(final String worker) {
    return PLACEMENTS + worker;
  }

  static String wave(final long number) {
    return WAVES + number;
  }

  static boolean isCancellation(final String key) {
    return key.endsWith(CANCEL_SUFFIX);
  }

  /** Returns the job id of a key under {@link #INPUT}. */
  static String inputId(final String key) {
    return key.substring(INPUT.length(), key.length() - SUBMISSION_SUFFIX.length());
  }
}
