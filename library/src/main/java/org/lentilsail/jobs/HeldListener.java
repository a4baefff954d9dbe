package org.lentilsail.jobs;

import static org.lentilsail.concurrent.Callbacks.loggedTask;

import java.util.ArrayList;
import java.util.List;
import org.lentilsail.store.ItemChange;
import org.lentilsail.store.PrefixListener;
import org.lentilsail.store.StoredItem;

/**
 * Holds back notifications until they are released, so that items can be read before the state is
 * known to which they apply. Confined to the control thread.
 */
final class HeldListener implements PrefixListener {
  private final PrefixListener listener;
  private final List<Runnable> held = new ArrayList<>();
  private boolean released;

  HeldListener(final PrefixListener listener) {
    this.listener = listener;
  }

  @Override
  public void onSnapshot(final List<StoredItem> items) {
    deliver(() -> listener.onSnapshot(items));
  }

  @Override
  public void onChange(final ItemChange change) {
    deliver(() -> listener.onChange(change));
  }

  @Override
  public void onBatchEnd() {
    deliver(listener::onBatchEnd);
  }

  @Override
  public void onCaughtUp(final long revision) {
    deliver(() -> listener.onCaughtUp(revision));
  }

  /** Delivers the held notifications in their order, and later ones at once. */
  void release() {
    released = true;
    held.forEach(notification -> loggedTask("held notification", notification).run());
    held.clear();
  }

  private void deliver(final Runnable notification) {
    if (released) {
      notification.run();
    } else {
      held.add(notification);
    }
  }
}
