package org.lentilsail.idempotency;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import org.lentilsail.entry.EntryResponse;
import org.lentilsail.entry.Outcome;

/**
 * Admits each key at most once while this daemon owns its range at its key time, the creation time
 * inside the UUIDv7. Ownership depends on the key time instead of the current time, so clock errors
 * and process pauses cannot break the guarantee. Thread-safe; performs no I/O.
 */
public final class KeyTable {
  /** Maximum time in ms by which a key may be ahead of the owner's clock. */
  private static final long MAX_AHEAD_MILLIS = 2_000;

  /**
   * Time in ms before the end of a term from which another daemon, whose clock is ahead, may have
   * acquired the range; clocks differ by less than 3 s.
   */
  private static final long END_MARGIN_MILLIS = 5_000;

  /** Maximum size in bytes of one cached response. */
  private static final int MAX_CACHED_BYTES = 64 * 1024;

  /** Time in ms for which keys are retained. */
  private final long retentionMillis;

  /** Maximum size in bytes of all cached responses. */
  private final long responseLimitBytes;

  /** Confirmed terms of this daemon by range. */
  private final Map<Integer, ConfirmedTerm> terms = new HashMap<>();

  /** Latest admitted key time by range; retained after the end of the term. */
  private final Map<Integer, Long> latestAdmitted = new HashMap<>();

  /** Retained keys in order of admission. */
  private final Map<IdempotencyKey, KeyEntry> entries = new LinkedHashMap<>();

  /** Cached responses in order of arrival. */
  private final Queue<CachedResponse> cached = new ArrayDeque<>();

  /** Size in bytes of all cached responses. */
  private long cachedBytes;

  /** Keys with this key time or an earlier one may have been removed; never decreases. */
  private long removedUpToMillis = Long.MIN_VALUE;

  /**
   * Creates an empty table.
   *
   * @param retentionMillis time in ms for which keys are retained
   * @param responseLimitBytes maximum size in bytes of all cached responses
   */
  public KeyTable(final long retentionMillis, final long responseLimitBytes) {
    this.retentionMillis = retentionMillis;
    this.responseLimitBytes = responseLimitBytes;
  }

  /**
   * Acquires a range or extends its term; call it only with a term that the platform has confirmed.
   *
   * @param range the range
   * @param fromMillis key time after which the term begins
   * @param toMillis last key time of the term
   */
  public synchronized void setTerm(final int range, final long fromMillis, final long toMillis) {
    terms.put(range, new ConfirmedTerm(fromMillis, toMillis));
  }

  /**
   * Stops admitting keys of a range.
   *
   * @param range the range
   * @return the latest key time that was admitted, or the start of the term; empty without a term
   */
  public synchronized OptionalLong removeTerm(final int range) {
    final ConfirmedTerm term = terms.remove(range);
    return term == null
        ? OptionalLong.empty()
        : OptionalLong.of(
            Math.max(term.fromMillis(), latestAdmitted.getOrDefault(range, Long.MIN_VALUE)));
  }

  /**
   * Returns the ranges in which this daemon admits a key that is created now.
   *
   * @param nowMillis current wall-clock time in ms
   * @return the ranges
   */
  public synchronized List<Integer> ranges(final long nowMillis) {
    final List<Integer> result = new ArrayList<>();
    terms.forEach(
        (range, term) -> {
          if (term.covers(nowMillis)) {
            result.add(range);
          }
        });
    return result;
  }

  /**
   * Returns whether this daemon decides about a key.
   *
   * @param key the key
   * @return whether the key is retained here or its key time is after the start of a confirmed term
   */
  public synchronized boolean isResponsible(final IdempotencyKey key) {
    final ConfirmedTerm term = terms.get(key.range());
    return entries.containsKey(key) || term != null && key.millis() > term.fromMillis();
  }

  /**
   * Decides whether an attempt runs its request.
   *
   * @param key the key
   * @param fingerprint identifies the request
   * @param nowMillis current wall-clock time in ms
   * @return whether to run the request, and its response
   */
  public synchronized KeyDecision admit(
      final IdempotencyKey key, final String fingerprint, final long nowMillis) {
    final KeyEntry known = entries.get(key);
    return known == null ? admitNew(key, fingerprint, nowMillis) : repeat(known, fingerprint);
  }

  /**
   * Records the result of the admitted attempt. After {@code not-run}, the key can be admitted
   * again.
   *
   * @param key the key
   * @param response the response over all attempts on workers
   */
  public void complete(final IdempotencyKey key, final EntryResponse response) {
    final CompletableFuture<EntryResponse> waiting;
    synchronized (this) {
      final KeyEntry entry = entries.get(key);
      waiting = entry.response();
      if (response.outcome() == Outcome.NOT_RUN) {
        entries.remove(key);
      } else if (response.outcome() == Outcome.RAN) {
        cacheResponse(entry, response.body().length);
      }
    }
    waiting.complete(response);
  }

  /**
   * Removes keys that are older than the retention period.
   *
   * @param nowMillis current wall-clock time in ms
   */
  public synchronized void removeExpired(final long nowMillis) {
    removedUpToMillis = Math.max(removedUpToMillis, nowMillis - retentionMillis);
    entries
        .entrySet()
        .removeIf(
            entry ->
                entry.getKey().millis() <= removedUpToMillis
                    && entry.getValue().response().isDone());
    while (!cached.isEmpty()
        && entries.get(cached.element().entry().key()) != cached.element().entry()) {
      cachedBytes -= cached.remove().bytes();
    }
  }

  private KeyDecision admitNew(
      final IdempotencyKey key, final String fingerprint, final long nowMillis) {
    final ConfirmedTerm term = terms.get(key.range());
    final long millis = key.millis();
    final KeyDecision result;
    if (term == null || millis <= term.fromMillis()) {
      result =
          KeyDecision.completed(
              KeyErrorResponses.ownerUnreachable("another daemon owned it at the time of the key"));
    } else if (millis <= removedUpToMillis) {
      result = KeyDecision.completed(KeyErrorResponses.tooOld());
    } else if (millis > term.toMillis() && nowMillis > term.toMillis() - END_MARGIN_MILLIS) {
      // The term has expired, so another daemon may own this key time and have run the request.
      result =
          KeyDecision.completed(
              KeyErrorResponses.ownerUnreachable("the ownership term has expired"));
    } else if (millis > term.toMillis() || millis > nowMillis + MAX_AHEAD_MILLIS) {
      result = KeyDecision.completed(KeyErrorResponses.fromFuture());
    } else {
      final KeyEntry entry = new KeyEntry(key, fingerprint);
      entries.put(key, entry);
      latestAdmitted.merge(key.range(), millis, Math::max);
      result = new KeyDecision(true, entry.response());
    }
    return result;
  }

  private static KeyDecision repeat(final KeyEntry known, final String fingerprint) {
    final KeyDecision result;
    if (!known.fingerprint().equals(fingerprint)) {
      result = KeyDecision.completed(KeyErrorResponses.reused());
    } else {
      result = new KeyDecision(false, known.response());
    }
    return result;
  }

  private void cacheResponse(final KeyEntry entry, final int bytes) {
    if (bytes > MAX_CACHED_BYTES) {
      entry.discardResponse();
    } else {
      cached.add(new CachedResponse(entry, bytes));
      cachedBytes += bytes;
    }
    while (cachedBytes > responseLimitBytes) {
      final CachedResponse oldest = cached.remove();
      oldest.entry().discardResponse();
      cachedBytes -= oldest.bytes();
    }
  }
}
