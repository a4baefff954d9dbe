package org.lentilsail.standin.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lentilsail.store.Transaction;

/** The faults between each daemon and the store that are injected at present. Thread-safe. */
final class StoreFaults {
  private final Map<String, StoreFault> faults = new HashMap<>();
  private final List<WriteFault> writeFaults = new ArrayList<>();

  /**
   * A fault of the writes of one daemon to some keys.
   *
   * @param daemon id of the daemon
   * @param prefix prefix of the keys
   * @param fault the fault
   */
  private record WriteFault(String daemon, String prefix, StoreFault fault) {
    boolean concerns(final String sender, final Transaction transaction) {
      return daemon.equals(sender)
          && (transaction.writes().stream().anyMatch(write -> write.key().startsWith(prefix))
              || transaction.removals().stream().anyMatch(key -> key.startsWith(prefix)));
    }
  }

  synchronized void set(final String daemon, final StoreFault fault) {
    faults.put(daemon, fault);
  }

  synchronized void setOfWrites(final String daemon, final String prefix, final StoreFault fault) {
    writeFaults.removeIf(known -> known.daemon().equals(daemon) && known.prefix().equals(prefix));
    if (fault != StoreFault.NONE) {
      writeFaults.add(new WriteFault(daemon, prefix, fault));
    }
  }

  /** Returns the fault of all calls of a daemon. */
  synchronized StoreFault of(final String daemon) {
    return faults.getOrDefault(daemon, StoreFault.NONE);
  }

  /** Returns the fault of a transaction: that of all calls of its daemon, or else of its keys. */
  synchronized StoreFault of(final String daemon, final Transaction transaction) {
    final StoreFault fault = of(daemon);
    return fault != StoreFault.NONE
        ? fault
        : writeFaults.stream()
            .filter(known -> known.concerns(daemon, transaction))
            .map(WriteFault::fault)
            .findFirst()
            .orElse(StoreFault.NONE);
  }
}
