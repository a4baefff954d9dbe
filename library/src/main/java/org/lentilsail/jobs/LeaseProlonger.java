package org.lentilsail.jobs;

/**
 * Polls all workers at once when the leases of their runs have to be extended without delay: as the
 * store seems to fail, and as it confirms the leadership again. Confined to the control thread.
 */
final class LeaseProlonger {
  private final Runnable pollAll;
  private boolean storeUnreliable;
  private boolean leadershipInDoubt;

  LeaseProlonger(final Runnable pollAll) {
    this.pollAll = pollAll;
  }

  /**
   * Polls all workers as soon as the store seems to fail. That extends the leases of their runs to
   * the longest that workers grant, which is only permitted while the leader lease is still valid.
   *
   * @param unreliable whether the store seems to fail
   * @param leading whether the leader lease is valid
   */
  void tick(final boolean unreliable, final boolean leading) {
    if (unreliable && !storeUnreliable) {
      pollAll.run();
    }
    storeUnreliable = unreliable;
    leadershipInDoubt |= !leading;
  }

  /** Polls all workers if polls have been sent that could not extend the leases of runs. */
  void leadershipConfirmed() {
    if (leadershipInDoubt) {
      resumed();
    }
  }

  /** Polls all workers as the daemon leads in a new term. */
  void resumed() {
    leadershipInDoubt = false;
    pollAll.run();
  }
}
