package org.lentilsail.idempotency;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.lentilsail.config.ConfigurationView;
import org.lentilsail.config.KeyTerm;
import org.lentilsail.entry.EntryRequest;
import org.lentilsail.entry.EntryResponse;
import org.lentilsail.entry.ErrorResponses;
import org.lentilsail.entry.KeyGenerator;
import org.lentilsail.entry.Outcome;
import org.lentilsail.entry.RequestRunner;
import org.lentilsail.model.time.TimeSource;
import org.lentilsail.peer.PeerNetwork;

/**
 * Runs a keyed request at the owner of its key. An admitted request runs on when its caller leaves,
 * so that a repeat of the key gets the outcome.
 */
public final class KeyedRequestRunner implements RequestRunner, KeyGenerator {
  /**
   * Time in ms by which the owner ends before this daemon stops waiting, so that the owner's
   * outcome arrives instead of a time-out; the one-way latency between zones is about 1 ms.
   */
  private static final long HOP_MILLIS = 50;

  /** Runs requests on workers. */
  private final RequestRunner workers;

  /** Decides about keys of this daemon. */
  private final KeyTable table;

  /** Tells which daemon owns which keys. */
  private final ConfigurationView configuration;

  /** Carries requests to other owners. */
  private final PeerNetwork network;

  /** Clocks. */
  private final TimeSource time;

  /** One future for each request of a peer that is not answered yet. */
  private final Set<CompletableFuture<Void>> forwarded = ConcurrentHashMap.newKeySet();

  /**
   * Creates a runner and registers its messages; call it before the network starts.
   *
   * @param workers runs requests on workers
   * @param table decides about keys of this daemon
   * @param configuration tells which daemon owns which keys
   * @param network carries requests to other owners
   * @param time clocks
   */
  public KeyedRequestRunner(
      final RequestRunner workers,
      final KeyTable table,
      final ConfigurationView configuration,
      final PeerNetwork network,
      final TimeSource time) {
    this.workers = workers;
    this.table = table;
    this.configuration = configuration;
    this.network = network;
    this.time = time;
    network.handle("keyed-request", KeyedRequest.class, (from, message) -> answerPeer(message));
    network.handle("keyed-answer", KeyedAnswer.class, (from, message) -> null);
  }

  @Override
  public CompletableFuture<EntryResponse> run(final EntryRequest request) {
    final CompletableFuture<EntryResponse> result;
    final Optional<IdempotencyKey> key = IdempotencyKey.parse(request.key());
    if (request.key().isEmpty()) {
      result = workers.run(request);
    } else if (key.isEmpty()) {
      result = CompletableFuture.completedFuture(KeyErrorResponses.invalid(request.key()));
    } else if (table.isResponsible(key.get())) {
      result = runHere(request);
    } else {
      result = forward(request, key.get());
    }
    return result;
  }

  @Override
  public List<String> generate(final int count) {
    final long now = time.wallMillis();
    final List<Integer> ranges = table.ranges(now);
    final List<String> result = new ArrayList<>();
    while (!ranges.isEmpty() && result.size() < count) {
      final IdempotencyKey key = IdempotencyKey.create(now, ThreadLocalRandom.current());
      if (ranges.contains(key.range())) {
        result.add(key.uuid().toString());
      }
    }
    return result;
  }

  /**
   * Waits for the requests that peers have forwarded so far; a stop that does not would cut them
   * off, because the server for callers does not count them. Call it when the terms are given up.
   *
   * @return completes when the answers have been given to the network
   */
  public CompletableFuture<Void> forwardedCompletion() {
    return CompletableFuture.allOf(forwarded.toArray(CompletableFuture[]::new));
  }

  private CompletableFuture<KeyedAnswer> answerPeer(final KeyedRequest message) {
    final CompletableFuture<KeyedAnswer> answer =
        runHere(message.toRequest(time.nanos())).thenApply(KeyedAnswer::of);
    if (!answer.isDone()) {
      final CompletableFuture<Void> ended = new CompletableFuture<>();
      forwarded.add(ended);
      // Actions run in reverse order of registration, so the network's action comes before.
      answer.whenComplete(
          (done, error) -> {
            forwarded.remove(ended);
            ended.complete(null);
          });
    }
    return answer;
  }

  private CompletableFuture<EntryResponse> runHere(final EntryRequest request) {
    final IdempotencyKey key = IdempotencyKey.parse(request.key()).orElseThrow();
    final KeyDecision decision = table.admit(key, fingerprint(request), time.wallMillis());
    if (decision.run()) {
      workers
          .run(request)
          .whenComplete(
              (response, error) ->
                  table.complete(
                      key, error == null ? response : ErrorResponses.of(error, Outcome.UNKNOWN)));
    }
    return decision.response().copy();
  }

  private CompletableFuture<EntryResponse> forward(
      final EntryRequest request, final IdempotencyKey key) {
    final KeyTerm term = configuration.current().keyTerms().get(key.range());
    final CompletableFuture<EntryResponse> result;
    if (term == null || key.millis() <= term.fromMillis()) {
      result = unreachable("no live daemon owns its time");
    } else if (network.peers().stream()
        .noneMatch(
            peer ->
                peer.id().equals(term.daemon())
                    && peer.incarnation() == term.incarnation()
                    && peer.live())) {
      result = unreachable("daemon " + term.daemon() + " is not live");
    } else {
      final long remaining =
          Math.max(1, TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - time.nanos()));
      result =
          network
              .request(
                  term.daemon(),
                  KeyedRequest.of(request, remaining - Math.min(HOP_MILLIS, remaining / 2)),
                  Duration.ofMillis(remaining),
                  KeyedAnswer.class)
              .thenApply(KeyedAnswer::toResponse)
              .exceptionally(error -> KeyErrorResponses.ownerUnreachable(error.getMessage()));
    }
    return result;
  }

  private static CompletableFuture<EntryResponse> unreachable(final String reason) {
    return CompletableFuture.completedFuture(KeyErrorResponses.ownerUnreachable(reason));
  }

  /** Identifies a request by what the backend server acts on; fields may differ in a repeat. */
  private static String fingerprint(final EntryRequest request) {
    try {
      final MessageDigest digest = MessageDigest.getInstance("SHA-256");
      digest.update(
          (request.service() + "\n" + request.method() + "\n" + request.path() + "\n")
              .getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(digest.digest(request.body()));
    } catch (final NoSuchAlgorithmException error) {
      throw new IllegalStateException("this runtime has no SHA-256", error);
    }
  }
}
