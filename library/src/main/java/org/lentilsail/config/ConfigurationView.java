package org.lentilsail.config;

import java.util.function.Consumer;

/** Read-only view of the current configuration of a daemon. */
public interface ConfigurationView {
  /**
   * Returns the current snapshot; can be called from any thread.
   *
   * @return the snapshot
   */
  ConfigurationSnapshot current();

  /**
   * Registers a listener that is called with each new snapshot on the control thread.
   *
   * @param listener receives the snapshot
   */
  void onChange(Consumer<ConfigurationSnapshot> listener);
}
