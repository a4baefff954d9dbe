package org.lentilsail.standin.platform;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Holds the faults in effect. Thread-safe. */
final class FaultTable {
  /** Name that stands for all clients without a fault of their own. */
  static final String EVERYONE = "*";

  private final Map<String, Fault> faults = new ConcurrentHashMap<>();

  /** Sets a fault; a fault for {@link #EVERYONE} replaces the faults of all single clients. */
  void set(final String client, final Fault fault) {
    if (client.equals(EVERYONE)) {
      faults.clear();
    }
    faults.put(client, fault);
  }

  Fault of(final String client) {
    final Fault own = faults.get(client);
    return own != null ? own : faults.getOrDefault(EVERYONE, Fault.NONE);
  }
}
