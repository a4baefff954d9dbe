package org.lentilsail.idempotency;

import java.util.Optional;
import java.util.OptionalLong;
import org.lentilsail.config.KeyTerm;

/** State of one key range; guarded by the lock of the {@link KeyTermManager}. */
final class RangeState {
  /** Last confirmed term, empty without one. */
  private Optional<KeyTerm> term = Optional.empty();

  /** Revision of the term, 0 without one. */
  private long revision;

  /** Whether the term is known: false until it is read, and after a write without a reply. */
  private boolean known;

  /** Whether a call to the platform is in progress. */
  private boolean busy;

  /** Key time at which this daemon releases the range, empty when it does not. */
  private OptionalLong releasedAt = OptionalLong.empty();

  Optional<KeyTerm> term() {
    return term;
  }

  long revision() {
    return revision;
  }

  boolean isKnown() {
    return known;
  }

  boolean isBusy() {
    return busy;
  }

  boolean isReleasing() {
    return releasedAt.isPresent();
  }

  long releaseMillis() {
    return releasedAt.orElseThrow();
  }

  void beginCall() {
    busy = true;
  }

  void endCall() {
    busy = false;
  }

  void update(final Optional<KeyTerm> current, final long currentRevision) {
    term = current;
    revision = currentRevision;
    known = true;
  }

  void invalidate() {
    known = false;
  }

  /** Sets the key time of the release; later calls change nothing. */
  void releaseAt(final long millis) {
    if (releasedAt.isEmpty()) {
      releasedAt = OptionalLong.of(millis);
    }
  }

  void cancelRelease() {
    releasedAt = OptionalLong.empty();
  }
}
