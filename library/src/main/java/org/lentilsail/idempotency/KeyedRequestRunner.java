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
 * Runs each keyed request on the daemon that owns its key. An admitted request continues when its
 * caller disconnects, so that a repeat with the same key gets the outcome.
 */
public final class KeyedRequestRunner implements RequestRunner, KeyGenerator {
  /**
   * Time in ms by which the owner's deadline is earlier than the timeout of this daemon, so that
   * the owner's outcome arrives first; the one-way latency between zones is about 1 ms.
   */
  private static final long FORWARDING_MARGIN_MILLIS = 50;

  /** Runs requests on workers. */
  private final RequestRunner workers;

  /** Admits the keys that this daemon owns. */
  private final KeyTable table;

  /** Provides the owners of the key ranges. */
  private final ConfigurationView configuration;

  /** Sends requests to other owners. */
  private final PeerNetwork network;

  /** Source of wall-clock and monotonic time. */
  private final TimeSource time;

  /** Futures of the requests that peers have forwarded and that are not answered yet. */
  private final Set<CompletableFuture<Void>> forwarded = ConcurrentHashMap.newKeySet();

  /**
   * Creates a runner and registers its message handlers; call it before the network starts.
   *
   * @param workers runs requests on workers
   * @param table admits the keys that this daemon owns
   * @param configuration provides the owners of the key ranges
   * @param network sends requests to other owners
   * @param time source of wall-clock and monotonic time
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
   * Returns a future for the answers to all requests that peers have forwarded so far. A graceful
   * shutdown must wait for it, because {@code EntryServer} does not count these requests and they
   * would be interrupted. Call it after the terms have been released.
   *
   * @return completes when the answers have been passed to the network
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
      // Dependent actions run in reverse order of registration, so the network sends the answer
      // first.
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
      result = unreachable("no live daemon owns it at the time of the key");
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
                  KeyedRequest.of(
                      request, remaining - Math.min(FORWARDING_MARGIN_MILLIS, remaining / 2)),
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

  /** Returns a hash of what the backend server acts on; header fields may differ in a repeat. */
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
