package org.lentilsail.jobs;

/** Keys of the product in the platform's store. */
final class StoreKeys {
  /** Submissions and cancellations; written by every daemon, followed by the holder. */
  static final String INPUT = "in/";

  /** Progress of jobs; written by the holder. */
  static final String PROGRESS = "p/";

  /** Election of the holder; followed by every daemon. */
  static final String ELECTION = "lead/";

  /** The daemon that holds control; removed with its lease. */
  static final String LEADER = "lead/holder";

  /** The last term; never removed. */
  static final String TERM = "lead/term";

  /** Offer of a stronger daemon to take control over. */
  static final String OFFER = "lead/offer";

  /** Workers that may have been given work. */
  static final String ROSTER = "roster";

  /** Tasks that a worker may have been given, by worker; written by the holder. */
  static final String PLACEMENTS = "at/";

  /** Numbers of waiting jobs by queue. */
  static final String WAITING = "waiting";

  /** Machines with orders that may still be carried out. */
  static final String MACHINE_COMMANDS = "machine-orders";

  /** Machines maintained by wave. */
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

  /** Returns the id of the job of a key under {@link #INPUT}. */
  static String inputId(final String key) {
    return key.substring(INPUT.length(), key.length() - SUBMISSION_SUFFIX.length());
  }
}
