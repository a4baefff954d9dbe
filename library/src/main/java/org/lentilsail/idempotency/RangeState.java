package org.lentilsail.idempotency;

import java.util.Optional;
import java.util.OptionalLong;
import org.lentilsail.config.KeyTerm;

/** What a keeper knows of one range; guarded by the lock of the keeper. */
final class RangeState {
  /** Term as last read. */
  private Optional<KeyTerm> term = Optional.empty();

  /** Revision of the term, 0 for none. */
  private long revision;

  /** Whether the term has been read since the last doubt. */
  private boolean read;

  /** Whether a call to the platform is open. */
  private boolean busy;

  /** Key time at which this daemon gives the range up, empty when it does not. */
  private OptionalLong givenUp = OptionalLong.empty();

  Optional<KeyTerm> term() {
    return term;
  }

  long revision() {
    return revision;
  }

  boolean isKnown() {
    return read;
  }

  boolean isBusy() {
    return busy;
  }

  boolean isReleasing() {
    return givenUp.isPresent();
  }

  long releaseMillis() {
    return givenUp.orElseThrow();
  }

  void beginCall() {
    busy = true;
  }

  void endCall() {
    busy = false;
  }

  void update(final Optional<KeyTerm> present, final long presentRevision) {
    term = present;
    revision = presentRevision;
    read = true;
  }

  void invalidate() {
    read = false;
  }

  /** Fixes the end of the term; a later call changes nothing. */
  void releaseAt(final long millis) {
    if (givenUp.isEmpty()) {
      givenUp = OptionalLong.of(millis);
    }
  }

  void cancelRelease() {
    givenUp = OptionalLong.empty();
  }
}
