package org.lentilsail.idempotency;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.lentilsail.config.ConfigurationSnapshot;
import org.lentilsail.config.ConfigurationView;
import org.lentilsail.config.KeyTerm;
import org.lentilsail.entry.EntryRequest;
import org.lentilsail.entry.EntryResponse;
import org.lentilsail.entry.Outcome;
import org.lentilsail.model.time.TimeSource;
import org.lentilsail.peer.PeerUnreachableException;

/** Guards against second runs, wrong outcomes and interruptions of forwarded keyed requests. */
class KeyedRequestRunnerTest {
  private static final Duration DEADLINE = Duration.ofSeconds(10);

  private final TimeSource time = TimeSource.system();
  private final StubNetwork network = new StubNetwork();
  private final KeyTable table = new KeyTable(3_600_000, 1_000_000);
  private final List<CompletableFuture<EntryResponse>> runs = new ArrayList<>();
  private final KeyedRequestRunner runner =
      new KeyedRequestRunner(this::runOnWorker, table, new OwnedElsewhere(), network, time);
  private final IdempotencyKey key = IdempotencyKey.create(time.wallMillis(), new Random(1));

  /** Guards against a second run of a key that is repeated while its first attempt runs. */
  @Test
  void repeatsAtTheOwnerShareOneRun() {
    acquireRange();
    final CompletableFuture<EntryResponse> first = runner.run(request());
    final CompletableFuture<EntryResponse> repeat = runner.run(request());
    assertThat(runs, hasSize(1));
    runs.get(0).complete(ran());
    assertThat(first.join().outcome(), is(Outcome.RAN));
    assertThat(repeat.join().outcome(), is(Outcome.RAN));
  }

  /** Guards against a forwarded request that also runs locally, or whose answer is changed. */
  @Test
  void forwardsToTheOwnerAndReturnsItsAnswer() {
    final CompletableFuture<EntryResponse> result = runner.run(request());
    network.reply.complete(KeyedAnswer.of(ran()));
    assertThat(runs, hasSize(0));
    assertThat(result.join().outcome(), is(Outcome.RAN));
    assertThat(new String(result.join().body(), StandardCharsets.UTF_8), is("done"));
  }

  /** Guards against not-run for a request that its owner may have run before a crash. */
  @Test
  void ownerThatCrashesLeavesTheOutcomeUnknown() {
    final CompletableFuture<EntryResponse> result = runner.run(request());
    network.reply.completeExceptionally(new PeerUnreachableException("owner", true, "it crashed"));
    assertThat(result.join().outcome(), is(Outcome.UNKNOWN));
    assertThat(bodyOf(result), containsString("key-owner-unreachable"));
  }

  /** Guards against a wait for an owner that is known to be dead or to be a later incarnation. */
  @Test
  void noRequestToDeadAndRestartedOwners() {
    network.ownerLive = false;
    assertThat(runner.run(request()).join().outcome(), is(Outcome.UNKNOWN));
    network.ownerLive = true;
    network.ownerIncarnation = 8;
    assertThat(runner.run(request()).join().outcome(), is(Outcome.UNKNOWN));
    assertThat(network.sentRequest == null, is(true));
  }

  /** Guards against a timeout of the forwarding daemon that hides the owner's outcome. */
  @Test
  void ownerDeadlineIsBeforeForwardingTimeout() {
    runner.run(request());
    assertThat(network.sentRequest.remainingMillis(), lessThan(network.timeout.toMillis()));
    assertThat(network.timeout.toMillis(), lessThan(DEADLINE.toMillis() + 1));
  }

  /** Guards against a graceful shutdown that interrupts requests forwarded by peers. */
  @Test
  void forwardedCompletionWaitsForAnswers() {
    acquireRange();
    final CompletableFuture<?> answer =
        network.keyedRequests.handle("peer", KeyedRequest.of(request(), 1_000));
    final CompletableFuture<Void> completion = runner.forwardedCompletion();
    assertThat(completion.isDone(), is(false));
    runs.get(0).complete(ran());
    assertThat(answer.isDone(), is(true));
    assertThat(completion.isDone(), is(true));
  }

  /** Guards against generated keys in ranges that another daemon owns. */
  @Test
  void createsOnlyKeysOfOwnRanges() {
    assertThat(runner.generate(3), hasSize(0));
    acquireRange();
    final List<String> keys = runner.generate(3);
    assertThat(keys, hasSize(3));
    keys.forEach(
        text -> assertThat(IdempotencyKey.parse(text).orElseThrow().range(), is(key.range())));
  }

  private void acquireRange() {
    table.setTerm(key.range(), key.millis() - 1_000, key.millis() + 3_600_000);
  }

  private CompletableFuture<EntryResponse> runOnWorker(final EntryRequest request) {
    final CompletableFuture<EntryResponse> result = new CompletableFuture<>();
    runs.add(result);
    return result;
  }

  private EntryRequest request() {
    return new EntryRequest(
        "tee",
        "POST",
        "/",
        List.of(),
        new byte[0],
        key.uuid().toString(),
        "",
        false,
        0,
        time.nanos() + DEADLINE.toNanos());
  }

  private static EntryResponse ran() {
    return new EntryResponse(Outcome.RAN, 200, List.of(), "done".getBytes(StandardCharsets.UTF_8));
  }

  private static String bodyOf(final CompletableFuture<EntryResponse> response) {
    return new String(response.join().body(), StandardCharsets.UTF_8);
  }

  /** Configuration in which the daemon {@code owner} owns all keys. */
  private static final class OwnedElsewhere implements ConfigurationView {
    @Override
    public ConfigurationSnapshot current() {
      final ConfigurationSnapshot empty = ConfigurationSnapshot.empty();
      final Map<Integer, KeyTerm> terms = new HashMap<>();
      for (int range = 0; range < IdempotencyKey.RANGES; range++) {
        terms.put(range, new KeyTerm(range, "owner", 7, 0, Long.MAX_VALUE));
      }
      return new ConfigurationSnapshot(1, empty.records(), empty.fleet(), 1, terms);
    }

    @Override
    public void onChange(final Consumer<ConfigurationSnapshot> listener) {}
  }
}
