package org.lentilsail.standin.jobs;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.lentilsail.store.ItemChange;
import org.lentilsail.store.WatchBatch;

/** Changes that the simulated store still knows, and the watches that wait for more of them. */
final class ChangeHistory {
  private final List<ItemChange> changes = new ArrayList<>();
  private final List<Waiter> waiters = new ArrayList<>();
  private long start = 1;

  /**
   * A watch that waits for a change.
   *
   * @param prefix prefix of the keys
   * @param after revision after which changes are wanted
   * @param response the response to complete
   */
  record Waiter(String prefix, long after, CompletableFuture<WatchBatch> response) {}

  void add(final ItemChange change) {
    changes.add(change);
  }

  /** Drops all changes up to a revision. */
  void compact(final long revision) {
    changes.clear();
    start = revision;
  }

  /** Returns whether changes after a revision may have been dropped. */
  boolean isCompactedAfter(final long revision) {
    return revision < start;
  }

  /** Returns the known changes of a prefix after a revision. */
  WatchBatch changes(final String prefix, final long after, final long revision) {
    final List<ItemChange> found = new ArrayList<>();
    for (int i = changes.size() - 1; i >= 0 && changes.get(i).revision() > after; i--) {
      if (changes.get(i).key().startsWith(prefix)) {
        found.add(changes.get(i));
      }
    }
    Collections.reverse(found);
    return new WatchBatch(false, found, revision);
  }

  /** Adds a watch that waits. */
  Waiter await(final String prefix, final long after) {
    final Waiter waiter = new Waiter(prefix, after, new CompletableFuture<>());
    waiters.add(waiter);
    return waiter;
  }

  /** Removes the watches that have changes now, and returns their answers. */
  List<Runnable> answered(final long revision) {
    final List<Runnable> answers = new ArrayList<>();
    for (final Waiter waiter : List.copyOf(waiters)) {
      final WatchBatch found = changes(waiter.prefix(), waiter.after(), revision);
      if (!found.changes().isEmpty()) {
        waiters.remove(waiter);
        answers.add(() -> waiter.response().complete(found));
      }
    }
    return answers;
  }

  /** Answers a watch that has waited for as long as it wanted, unless it is answered. */
  void timeOut(final Waiter waiter, final long revision) {
    if (waiters.remove(waiter)) {
      waiter.response().complete(new WatchBatch(false, List.of(), revision));
    }
  }
}
