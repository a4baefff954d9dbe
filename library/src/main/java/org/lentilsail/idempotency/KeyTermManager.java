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
 * Keeps this daemon's terms in the platform. A term is used only after the platform has confirmed
 * it. After a lost reply the key is read again before anything else is done with it.
 */
public final class KeyTermManager {
  /** Time in ms after which a term is extended. */
  private static final long EXTEND_MILLIS = 60_000;

  /**
   * Time in ms after the present at which the term of a dead owner is cut: keys may be 2 s ahead of
   * the owner's clock, and the two clocks differ by less than 3 s.
   */
  private static final long CUT_MILLIS = 5_000;

  /** Age in ms of the oldest keys of a range that nobody has owned before. */
  private static final long FIRST_BACK_MILLIS = 60_000;

  /** Ranges of others that are read again in a tick while this daemon owns too few. */
  private static final int READS_PER_TICK = 4;

  /** Start of the keys in the platform. */
  private static final String PREFIX = "keys/";

  /** Converts terms. */
  private static final ObjectMapper JSON = new ObjectMapper();

  /** The platform. */
  private final PlatformClient platform;

  /** Admits keys of the confirmed terms. */
  private final KeyTable table;

  /** Clocks. */
  private final TimeSource time;

  /** Time in ms by which a term reaches ahead; bounds the outage that keyed requests survive. */
  private final long aheadMillis;

  /** Id of this daemon. */
  private final String self;

  /** Incarnation of this daemon. */
  private final long incarnation;

  /** What is known of each range. */
  private final RangeState[] ranges = new RangeState[IdempotencyKey.RANGES];

  /** Whether all terms are being given up. */
  private boolean stopping;

  /** Range that is read again next; guarded by this. */
  private int nextRead;

  /**
   * Creates a keeper.
   *
   * @param platform the platform
   * @param table admits keys of the confirmed terms
   * @param time clocks
   * @param aheadMillis time in ms by which a term reaches ahead
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
   * Takes, extends and gives up terms; call it about once a second.
   *
   * @param liveDaemons number of live daemons with this one
   * @param provedDead tells whether the owner of a term is certainly dead, because a later
   *     incarnation listens on its peer address or the platform reports its VM gone
   */
  public synchronized void tick(final int liveDaemons, final Predicate<KeyTerm> provedDead) {
    final int share = (ranges.length + liveDaemons - 1) / liveDaemons;
    table.removeExpired(time.wallMillis());
    int owned = ownedRanges();
    boolean given = false;
    for (int range = 0; range < ranges.length; range++) {
      final RangeState state = ranges[range];
      if (state.isBusy()) {
        continue;
      }
      if (!state.isKnown()) {
        read(range);
      } else if (isMine(state)) {
        final boolean surplus = owned > share && !given && !state.isReleasing();
        given |= surplus;
        renew(range, surplus, owned < share);
      } else if (!stopping && owned < share) {
        owned += take(range, provedDead) ? 1 : 0;
      }
    }
    if (!stopping && owned < share) {
      readOthers();
    }
  }

  /** Reads some ranges of other daemons again; their owners may have given them up. */
  private void readOthers() {
    for (int i = 0; i < READS_PER_TICK; i++) {
      final int range = nextRead;
      nextRead = (nextRead + 1) % ranges.length;
      if (!ranges[range].isBusy() && !isMine(ranges[range])) {
        read(range);
      }
    }
  }

  /**
   * Gives up all terms for a planned stop; other daemons go on after the last admitted key.
   *
   * @return completes when each write has been answered or has failed
   */
  public synchronized CompletableFuture<Void> stop() {
    stopping = true;
    CompletableFuture<Void> result = CompletableFuture.completedFuture(null);
    for (int range = 0; range < ranges.length; range++) {
      if (ranges[range].isKnown() && isMine(ranges[range])) {
        result = CompletableFuture.allOf(result, giveUp(range));
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
      result += state.isKnown() && isMine(state) && !state.isReleasing() ? 1 : 0;
    }
    return result;
  }

  private boolean isMine(final RangeState state) {
    return state
        .term()
        .filter(term -> term.daemon().equals(self) && term.incarnation() == incarnation)
        .isPresent();
  }

  private void renew(final int range, final boolean surplus, final boolean wanted) {
    final KeyTerm term = ranges[range].term().orElseThrow();
    final long target = time.wallMillis() + aheadMillis;
    final RangeState state = ranges[range];
    if (state.isReleasing() && term.toMillis() == state.releaseMillis() && wanted && !stopping) {
      // Nobody has taken the range since this daemon gave it up.
      state.cancelRelease();
      write(range, new KeyTerm(range, self, incarnation, term.toMillis(), target));
    } else if (surplus || stopping || state.isReleasing()) {
      giveUp(range);
    } else if (target - term.toMillis() >= EXTEND_MILLIS) {
      write(range, new KeyTerm(range, self, incarnation, term.fromMillis(), target));
    }
  }

  private boolean take(final int range, final Predicate<KeyTerm> provedDead) {
    final long now = time.wallMillis();
    final Optional<KeyTerm> term = ranges[range].term();
    OptionalLong from = OptionalLong.empty();
    if (term.isEmpty()) {
      from = OptionalLong.of(now - FIRST_BACK_MILLIS);
    } else if (term.get().toMillis() < now) {
      from = OptionalLong.of(term.get().toMillis());
    } else if (provedDead.test(term.get())) {
      from =
          OptionalLong.of(
              Math.max(term.get().fromMillis(), Math.min(term.get().toMillis(), now + CUT_MILLIS)));
    }
    if (from.isPresent()) {
      write(range, new KeyTerm(range, self, incarnation, from.getAsLong(), now + aheadMillis));
    }
    return from.isPresent();
  }

  private CompletableFuture<Void> giveUp(final int range) {
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
      learn(range, value);
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
      learn(
          range,
          Optional.of(
              new VersionedValue(PREFIX + range, JSON.valueToTree(term), result.revision())));
    } else {
      learn(range, result.current());
    }
  }

  /** Acts on the term that the platform has confirmed. */
  private void learn(final int range, final Optional<VersionedValue> value) {
    final RangeState state = ranges[range];
    state.update(
        value.map(present -> JSON.convertValue(present.value(), KeyTerm.class)),
        value.map(VersionedValue::revision).orElse(0L));
    if (!isMine(state)) {
      table.removeTerm(range);
      state.cancelRelease();
    } else if (!state.isReleasing() && !stopping) {
      final KeyTerm term = state.term().orElseThrow();
      table.setTerm(range, term.fromMillis(), term.toMillis());
    }
  }
}
