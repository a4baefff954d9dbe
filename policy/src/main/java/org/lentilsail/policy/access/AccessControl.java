package org.lentilsail.policy.access;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.lentilsail.model.job.JobConfiguration;
import org.lentilsail.model.time.ClockReading;
import org.lentilsail.model.time.TimeSource;

/**
 * Holds the newest known configuration and the evidence that it is the newest. Thread-safe; updated
 * by one thread.
 */
public final class AccessControl {
  private final TimeSource time;
  private final RevocationBounds bounds;
  private final AtomicReference<State> state = new AtomicReference<>();

  /**
   * What is known. One object, so that a configuration is never combined with the evidence for a
   * later one.
   *
   * @param configuration the newest known configuration
   * @param keys its keys
   * @param confirmedAt when the call was sent that showed that the configuration is the newest,
   *     null if that is unknown
   */
  private record State(JobConfiguration configuration, KeyIndex keys, ClockReading confirmedAt) {
    State confirmed(final ClockReading sentAt) {
      return new State(configuration, keys, sentAt);
    }
  }

  /**
   * Creates an instance without a configuration.
   *
   * @param time clocks
   * @param bounds settings for the removal of keys
   */
  public AccessControl(final TimeSource time, final RevocationBounds bounds) {
    this.time = time;
    this.bounds = bounds;
  }

  /**
   * Applies a configuration. The evidence for the one before stays valid: this one is newer.
   *
   * @param configuration the configuration
   */
  public void configure(final JobConfiguration configuration) {
    final KeyIndex keys = new KeyIndex(configuration.organisations());
    state.updateAndGet(
        known -> new State(configuration, keys, known == null ? null : known.confirmedAt()));
  }

  /**
   * Records that a call to the store showed that the configuration is the newest, after all changes
   * that it returned have been applied.
   *
   * @param sentAt when the call was sent; its response may have been delayed
   */
  public void confirm(final ClockReading sentAt) {
    state.updateAndGet(known -> known == null ? null : known.confirmed(sentAt));
  }

  /** Records that the configuration may be outdated, until it is confirmed again. */
  public void dropEvidence() {
    state.updateAndGet(known -> known == null ? null : known.confirmed(null));
  }

  /**
   * Returns what is known now.
   *
   * @return the configuration and its age, empty before the first configuration
   */
  public Optional<AccessSnapshot> snapshot() {
    final State known = state.get();
    return known == null
        ? Optional.empty()
        : Optional.of(
            new AccessSnapshot(known.configuration(), known.keys(), bounds, ageMillis(known)));
  }

  /**
   * Returns the age of the configuration.
   *
   * @return time in ms since the call was sent that confirmed it, {@code Long.MAX_VALUE} if unknown
   */
  public long ageMillis() {
    final State known = state.get();
    return known == null ? AccessSnapshot.UNKNOWN_AGE : ageMillis(known);
  }

  /** Reads the clocks after the state, so that a pause in between makes the age larger. */
  private long ageMillis(final State known) {
    if (known.confirmedAt() == null) {
      return AccessSnapshot.UNKNOWN_AGE;
    }
    final var elapsed = known.confirmedAt().elapsedMillis(ClockReading.of(time));
    if (elapsed.isEmpty()) {
      // A wall clock that was set back hides the length of a later suspension.
      state.compareAndSet(known, known.confirmed(null));
    }
    return elapsed.orElse(AccessSnapshot.UNKNOWN_AGE);
  }
}
