package org.lentilsail.idempotency;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.lentilsail.config.KeyTerm;
import org.lentilsail.model.time.TimeSource;
import org.lentilsail.platform.PlatformClient;
import org.lentilsail.platform.VersionedValue;
import org.lentilsail.platform.WriteResult;
import org.tinylog.Logger;

/**
 * Acquires, extends and releases this daemon's ownership terms of key ranges, which the platform
 * stores. A term takes effect only after the platform has confirmed the write. After a lost reply,
 * the stored value is read again before the next write.
 */
public final class KeyTermManager {
  /** Time in ms by which the end of a term must move for the term to be extended. */
  private static final long MIN_EXTENSION_MILLIS = 60_000;

  /**
   * Time in ms after the current time at which the term of a dead owner is truncated: keys may be
   * up to 2 s ahead of the owner's clock, and two clocks differ by less than 3 s.
   */
  private static final long DEAD_OWNER_MARGIN_MILLIS = 5_000;

  /** Maximum age in ms of the keys that are accepted in a range without a previous owner. */
  private static final long FIRST_TERM_MAX_KEY_AGE_MILLIS = 60_000;

  /**
   * Maximum number of ranges of other daemons that are read again in a tick while this daemon owns
   * too few.
   */
  private static final int READS_PER_TICK = 4;

  /** Prefix of the platform keys that store the terms; the number of the range follows. */
  private static final String PREFIX = "keys/";

  private static final ObjectMapper JSON = new ObjectMapper();

  private final PlatformClient platform;

  /** Admits keys within the confirmed terms. */
  private final KeyTable table;

  /** Source of wall-clock and monotonic time. */
  private final TimeSource time;

  /**
   * Time in ms from now to the end of a new or extended term; keyed requests survive platform
   * outages up to this long.
   */
  private final long aheadMillis;

  /** Id of this daemon. */
  private final String self;

  private final long incarnation;

  /** States of the ranges; the index is the number of the range. */
  private final RangeState[] ranges = new RangeState[IdempotencyKey.RANGES];

  /** Whether all terms are being released for a shutdown. */
  private boolean stopping;

  /** Next range that {@link #readOthers} reads again; guarded by this. */
  private int nextRead;

  /**
   * Creates a manager.
   *
   * @param platform the platform
   * @param table admits keys within the confirmed terms
   * @param time source of wall-clock and monotonic time
   * @param aheadMillis time in ms from now to the end of a new or extended term
   * @param self id of this daemon
   * @param incarnation incarnation of this daemon
   */
  public KeyTermManager(
      final PlatformClient platform,
      final KeyTable table,
      final TimeSource time,
      final long aheadMillis,
      final String self,
      final long incarnation) {
    this.platform = platform;
    this.table = table;
    this.time = time;
    this.aheadMillis = aheadMillis;
    this.self = self;
    this.incarnation = incarnation;
    for (int range = 0; range < ranges.length; range++) {
      ranges[range] = new RangeState();
    }
  }

  /**
   * Acquires, extends and releases terms; call it about once a second.
   *
   * @param liveDaemons number of live daemons, including this one
   * @param isOwnerDead returns whether the owner of a term is certainly dead, because a later
   *     incarnation listens on its peer address or the platform reports that its VM is gone
   */
  public synchronized void tick(final int liveDaemons, final Predicate<KeyTerm> isOwnerDead) {
    final int share = (ranges.length + liveDaemons - 1) / liveDaemons;
    table.removeExpired(time.wallMillis());
    int owned = ownedRanges();
    boolean released = false;
    for (int range = 0; range < ranges.length; range++) {
      final RangeState state = ranges[range];
      if (state.isBusy()) {
        continue;
      }
      if (!state.isKnown()) {
        read(range);
      } else if (isOwned(state)) {
        final boolean surplus = owned > share && !released && !state.isReleasing();
        released |= surplus;
        renew(range, surplus, owned < share);
      } else if (!stopping && owned < share) {
        owned += acquire(range, isOwnerDead) ? 1 : 0;
      }
    }
    if (!stopping && owned < share) {
      readOthers();
    }
  }

  /** Reads some ranges of other daemons again; their owners may have released them. */
  private void readOthers() {
    for (int i = 0; i < READS_PER_TICK; i++) {
      final int range = nextRead;
      nextRead = (nextRead + 1) % ranges.length;
      if (!ranges[range].isBusy() && !isOwned(ranges[range])) {
        read(range);
      }
    }
  }

  /**
   * Releases all terms for a graceful shutdown; the terms of other daemons begin after the last
   * admitted key.
   *
   * @return completes when each write has been answered or has failed
   */
  public synchronized CompletableFuture<Void> stop() {
    stopping = true;
    CompletableFuture<Void> result = CompletableFuture.completedFuture(null);
    for (int range = 0; range < ranges.length; range++) {
      if (ranges[range].isKnown() && isOwned(ranges[range])) {
        result = CompletableFuture.allOf(result, release(range));
      }
    }
    return result;
  }

  /**
   * Returns how many ranges this daemon owns.
   *
   * @return the number of confirmed terms
   */
  public synchronized int ownedRanges() {
    int result = 0;
    for (final RangeState state : ranges) {
      result += state.isKnown() && isOwned(state) && !state.isReleasing() ? 1 : 0;
    }
    return result;
  }

  private boolean isOwned(final RangeState state) {
    return state
        .term()
        .filter(term -> term.daemon().equals(self) && term.incarnation() == incarnation)
        .isPresent();
  }

  private void renew(final int range, final boolean surplus, final boolean belowShare) {
    final KeyTerm term = ranges[range].term().orElseThrow();
    final long target = time.wallMillis() + aheadMillis;
    final RangeState state = ranges[range];
    if (state.isReleasing()
        && term.toMillis() == state.releaseMillis()
        && belowShare
        && !stopping) {
      // No other daemon has acquired the range since this daemon released it.
      state.cancelRelease();
      write(range, new KeyTerm(range, self, incarnation, term.toMillis(), target));
    } else if (surplus || stopping || state.isReleasing()) {
      release(range);
    } else if (target - term.toMillis() >= MIN_EXTENSION_MILLIS) {
      write(range, new KeyTerm(range, self, incarnation, term.fromMillis(), target));
    }
  }

  private boolean acquire(final int range, final Predicate<KeyTerm> isOwnerDead) {
    final long now = time.wallMillis();
    final Optional<KeyTerm> term = ranges[range].term();
    OptionalLong from = OptionalLong.empty();
    if (term.isEmpty()) {
      from = OptionalLong.of(now - FIRST_TERM_MAX_KEY_AGE_MILLIS);
    } else if (term.get().toMillis() < now) {
      from = OptionalLong.of(term.get().toMillis());
    } else if (isOwnerDead.test(term.get())) {
      from =
          OptionalLong.of(
              Math.max(
                  term.get().fromMillis(),
                  Math.min(term.get().toMillis(), now + DEAD_OWNER_MARGIN_MILLIS)));
    }
    if (from.isPresent()) {
      write(range, new KeyTerm(range, self, incarnation, from.getAsLong(), now + aheadMillis));
    }
    return from.isPresent();
  }

  private CompletableFuture<Void> release(final int range) {
    final RangeState state = ranges[range];
    final KeyTerm term = state.term().orElseThrow();
    final OptionalLong latest = table.removeTerm(range);
    state.releaseAt(latest.isPresent() ? latest.getAsLong() : term.fromMillis());
    if (term.toMillis() == state.releaseMillis() || state.isBusy()) {
      return CompletableFuture.completedFuture(null);
    }
    return write(
        range, new KeyTerm(range, self, incarnation, term.fromMillis(), state.releaseMillis()));
  }

  private void read(final int range) {
    ranges[range].beginCall();
    platform.get(PREFIX + range).whenComplete((value, error) -> onRead(range, value, error));
  }

  private synchronized void onRead(
      final int range, final Optional<VersionedValue> value, final Throwable error) {
    ranges[range].endCall();
    if (error == null) {
      applyConfirmed(range, value);
    }
  }

  private CompletableFuture<Void> write(final int range, final KeyTerm term) {
    ranges[range].beginCall();
    return platform
        .compareAndSet(
            PREFIX + range, ranges[range].revision(), JSON.valueToTree(term), Optional.empty())
        .handle(
            (result, error) -> {
              onWritten(range, term, result, error);
              return null;
            });
  }

  private synchronized void onWritten(
      final int range, final KeyTerm term, final WriteResult result, final Throwable error) {
    ranges[range].endCall();
    if (error != null) {
      Logger.debug("keys: write of range {} was not confirmed: {}", range, error.getMessage());
      ranges[range].invalidate();
    } else if (result.written()) {
      applyConfirmed(
          range,
          Optional.of(
              new VersionedValue(PREFIX + range, JSON.valueToTree(term), result.revision())));
    } else {
      applyConfirmed(range, result.current());
    }
  }

  /** Applies a stored value that the platform has confirmed. */
  private void applyConfirmed(final int range, final Optional<VersionedValue> value) {
    final RangeState state = ranges[range];
    state.update(
        value.map(stored -> JSON.convertValue(stored.value(), KeyTerm.class)),
        value.map(VersionedValue::revision).orElse(0L));
    if (!isOwned(state)) {
      table.removeTerm(range);
      state.cancelRelease();
    } else if (!state.isReleasing() && !stopping) {
      final KeyTerm term = state.term().orElseThrow();
      table.setTerm(range, term.fromMillis(), term.toMillis());
    }
  }
}
