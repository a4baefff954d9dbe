package org.lentilsail.standin.platform;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Keeps the faults that are in force; thread-safe. */
final class FaultTable {
  /** Stands for all clients without a fault of their own. */
  static final String EVERYONE = "*";

  /** Faults by client. */
  private final Map<String, Fault> faults = new ConcurrentHashMap<>();

  /** Sets a fault; the one for everyone replaces those of single clients. */
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
