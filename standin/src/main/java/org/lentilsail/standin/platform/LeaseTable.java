package org.lentilsail.standin.platform;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import org.lentilsail.model.time.TimeSource;

/** Holds leases and the keys attached to them. Not thread-safe; its owner serializes the calls. */
final class LeaseTable {
  /** Clock for the expiry of leases. */
  private final TimeSource time;

  /** Leases by id. */
  private final Map<String, Lease> leases = new HashMap<>();

  LeaseTable(final TimeSource time) {
    this.time = time;
  }

  String grant(final Duration timeToLive) {
    final String id = UUID.randomUUID().toString();
    leases.put(id, new Lease(timeToLive, time.nanos()));
    return id;
  }

  boolean renew(final String id) {
    final Lease lease = leases.get(id);
    if (lease != null) {
      lease.renew(time.nanos());
    }
    return lease != null;
  }

  boolean exists(final String id) {
    return leases.containsKey(id);
  }

  void attach(final String id, final String key) {
    leases.get(id).keys().add(key);
  }

  void detach(final String key) {
    leases.values().forEach(lease -> lease.keys().remove(key));
  }

  Set<String> remove(final String id) {
    final Lease lease = leases.remove(id);
    return lease == null ? Set.of() : lease.keys();
  }

  /** Removes the expired leases and returns their keys. */
  Set<String> removeExpired() {
    final long now = time.nanos();
    final Set<String> result = new HashSet<>();
    leases
        .values()
        .removeIf(
            lease -> {
              final boolean expired = lease.hasExpired(now);
              if (expired) {
                result.addAll(lease.keys());
              }
              return expired;
            });
    return result;
  }
}
