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
 * Admits each key at most once while this daemon owns its range and time; pure but for its lock.
 * The time of a key decides about ownership, so clocks and pauses cannot break the guarantee.
 */
public final class KeyTable {
  /** Time in ms by which a key may be ahead of the owner's clock. */
  private static final long MAX_AHEAD_MILLIS = 2_000;

  /**
   * Time in ms before the end of a term from which a daemon whose clock is ahead may have taken the
   * range over; clocks differ by less than 3 s.
   */
  private static final long END_MARGIN_MILLIS = 5_000;

  /** Most bytes of one response that is kept. */
  private static final int MAX_KEPT_BYTES = 64 * 1024;

  /** Time in ms for which keys are remembered. */
  private final long memoryMillis;

  /** Most bytes of all responses that are kept. */
  private final long responseLimitBytes;

  /** Confirmed terms of this daemon by range. */
  private final Map<Integer, ConfirmedTerm> terms = new HashMap<>();

  /** Latest admitted key time by range; outlasts the terms. */
  private final Map<Integer, Long> latest = new HashMap<>();

  /** The remembered keys in order of their admission. */
  private final Map<IdempotencyKey, KeyEntry> entries = new LinkedHashMap<>();

  /** Kept responses in order of their arrival. */
  private final Queue<CachedResponse> kept = new ArrayDeque<>();

  /** Bytes of all responses that are kept. */
  private long keptBytes;

  /** Keys with this time or an earlier one may have been forgotten; it never falls. */
  private long floorMillis = Long.MIN_VALUE;

  /**
   * Creates an empty table.
   *
   * @param memoryMillis time in ms for which keys are remembered
   * @param responseLimitBytes most bytes of all responses that are kept
   */
  public KeyTable(final long memoryMillis, final long responseLimitBytes) {
    this.memoryMillis = memoryMillis;
    this.responseLimitBytes = responseLimitBytes;
  }

  /**
   * Takes over or extends a range; call it only with a term that the platform has confirmed.
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
        : OptionalLong.of(Math.max(term.fromMillis(), latest.getOrDefault(range, Long.MIN_VALUE)));
  }

  /**
   * Returns the ranges in which this daemon admits a key that is created now.
   *
   * @param nowMillis wall clock time
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
   * Tells whether this daemon decides about a key.
   *
   * @param key the key
   * @return whether the key is remembered here or lies in a confirmed term
   */
  public synchronized boolean isResponsible(final IdempotencyKey key) {
    final ConfirmedTerm term = terms.get(key.range());
    return entries.containsKey(key) || term != null && key.millis() > term.fromMillis();
  }

  /**
   * Decides about an attempt.
   *
   * @param key the key
   * @param fingerprint identifies the request
   * @param nowMillis wall clock time
   * @return whether to run it, or its response
   */
  public synchronized KeyDecision admit(
      final IdempotencyKey key, final String fingerprint, final long nowMillis) {
    final KeyEntry known = entries.get(key);
    return known == null ? admitNew(key, fingerprint, nowMillis) : repeat(known, fingerprint);
  }

  /**
   * Records how the admitted attempt ended. After {@code not-run} the key is free again.
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
        keep(entry, response.body().length);
      }
    }
    waiting.complete(response);
  }

  /**
   * Forgets keys that are older than the memory.
   *
   * @param nowMillis wall clock time
   */
  public synchronized void removeExpired(final long nowMillis) {
    floorMillis = Math.max(floorMillis, nowMillis - memoryMillis);
    entries
        .entrySet()
        .removeIf(
            entry ->
                entry.getKey().millis() <= floorMillis && entry.getValue().response().isDone());
    while (!kept.isEmpty() && entries.get(kept.element().entry().key()) != kept.element().entry()) {
      keptBytes -= kept.remove().bytes();
    }
  }

  private KeyDecision admitNew(
      final IdempotencyKey key, final String fingerprint, final long nowMillis) {
    final ConfirmedTerm term = terms.get(key.range());
    final long millis = key.millis();
    final KeyDecision result;
    if (term == null || millis <= term.fromMillis()) {
      result = KeyDecision.completed(KeyErrorResponses.ownerUnreachable("it was another daemon"));
    } else if (millis <= floorMillis) {
      result = KeyDecision.completed(KeyErrorResponses.tooOld());
    } else if (millis > term.toMillis() && nowMillis > term.toMillis() - END_MARGIN_MILLIS) {
      // The term has run out, so another daemon may own the time of this key and have run it.
      result = KeyDecision.completed(KeyErrorResponses.ownerUnreachable("the term has run out"));
    } else if (millis > term.toMillis() || millis > nowMillis + MAX_AHEAD_MILLIS) {
      result = KeyDecision.completed(KeyErrorResponses.fromFuture());
    } else {
      final KeyEntry entry = new KeyEntry(key, fingerprint);
      entries.put(key, entry);
      latest.merge(key.range(), millis, Math::max);
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

  private void keep(final KeyEntry entry, final int bytes) {
    if (bytes > MAX_KEPT_BYTES) {
      entry.discardResponse();
    } else {
      kept.add(new CachedResponse(entry, bytes));
      keptBytes += bytes;
    }
    while (keptBytes > responseLimitBytes) {
      final CachedResponse oldest = kept.remove();
      oldest.entry().discardResponse();
      keptBytes -= oldest.bytes();
    }
  }
}
