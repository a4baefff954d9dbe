package org.lentilsail.standin.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.lentilsail.worker.PollRequest;

/** Polls that the network holds back and that get no reply. */
public final class HeldPolls {
  private final List<Runnable> held = new ArrayList<>();
  private Predicate<PollRequest> next = request -> false;

  /**
   * Holds the next poll of a kind.
   *
   * @param kind the kind
   */
  public void holdNext(final Predicate<PollRequest> kind) {
    next = kind;
  }

  /**
   * Returns whether a poll is held.
   *
   * @return whether one has been sent and not been delivered
   */
  public boolean isHeld() {
    return !held.isEmpty();
  }

  /** Delivers the held polls to the incarnations that the workers have now, over any cut. */
  public void deliver() {
    held.forEach(Runnable::run);
    held.clear();
  }

  /** Holds a poll if it is the next of the kind; returns whether it is held. */
  boolean hold(final PollRequest request, final Runnable delivery) {
    if (!next.test(request)) {
      return false;
    }
    next = other -> false;
    held.add(delivery);
    return true;
  }
}
