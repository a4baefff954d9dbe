package org.lentilsail.standin.jobs;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Lets the registry entries of live workers expire and return, as they do around an outage of the
 * store.
 */
final class EntryFaults {
  /** Limit in ms of the time for which an entry is missing; leaders wait for 2.5 s. */
  private static final int MAX_MISSING_MILLIS = 5_000;

  private final SimulatedDeployment deployment;
  private final Random random;
  private final Predicate<String> isAlive;
  private final Set<String> expired = new LinkedHashSet<>();

  EntryFaults(
      final SimulatedDeployment deployment, final Random random, final Predicate<String> isAlive) {
    this.deployment = deployment;
    this.random = random;
    this.isAlive = isAlive;
  }

  /** Lets the entries of about one in so many workers expire; each returns on its own. */
  void expireSome(final Collection<String> workers, final int share) {
    for (final String worker : workers) {
      if (random.nextInt(share) == 0 && isAlive.test(worker) && expired.add(worker)) {
        deployment.expireEntry(worker);
        deployment.executor.schedule(
            () -> restore(worker), random.nextInt(MAX_MISSING_MILLIS), TimeUnit.MILLISECONDS);
      }
    }
  }

  /** Writes the entries that are still missing. */
  void restoreAll() {
    List.copyOf(expired).forEach(this::restore);
  }

  private void restore(final String worker) {
    if (expired.remove(worker) && isAlive.test(worker)) {
      deployment.writeEntry(worker);
    }
  }
}
