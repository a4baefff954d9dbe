package org.lentilsail.config;

import java.util.function.Consumer;

/** Gives the present configuration to the parts of a daemon. */
public interface ConfigurationView {
  /**
   * Returns the present snapshot; callable from every thread.
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
