package org.lentilsail.jobs;

import static org.lentilsail.concurrent.Callbacks.logged;

import java.util.function.Consumer;
import org.lentilsail.store.StoreRetries;

/** Reads the state of earlier leaders until that succeeds. Confined to the control thread. */
final class StateLoader {
  /** Delay in ms before a failed read is retried. */
  private static final long RETRY_DELAY_MILLIS = 100;

  private final ControlContext context;
  private final StoreRetries retries;
  private final Consumer<PersistedState> onLoaded;
  private boolean closed;

  StateLoader(
      final ControlContext context,
      final StoreRetries retries,
      final Consumer<PersistedState> onLoaded) {
    this.context = context;
    this.retries = retries;
    this.onLoaded = onLoaded;
  }

  void load() {
    PersistedState.read(context.store())
        .whenCompleteAsync(logged(this::handleResult), context.executor());
  }

  void close() {
    closed = true;
  }

  private void handleResult(final PersistedState state, final Throwable failure) {
    if (closed) {
      return;
    }
    if (failure == null) {
      onLoaded.accept(state);
      return;
    }
    context.log().log("control-load-failed", "reason", failure.getMessage());
    retries.schedule(this::load, RETRY_DELAY_MILLIS);
  }
}
