package org.lentilsail.jobs;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.lentilsail.ManualExecutor;
import org.lentilsail.store.GrantedLease;
import org.lentilsail.store.ItemChange;
import org.lentilsail.store.ItemPage;
import org.lentilsail.store.KeyValueStore;
import org.lentilsail.store.StoredItem;
import org.lentilsail.store.Transaction;
import org.lentilsail.store.TransactionResult;
import org.lentilsail.store.WatchBatch;

/** Store with one item, whose requests and responses are delayed or lost as a test sets. */
final class ScriptedStore implements KeyValueStore {
  /** Delay of a message that never arrives. */
  static final long LOST = Long.MAX_VALUE;

  /** Delays in ms of the requests and of the responses that are sent from now on. */
  long requestDelay = 1;

  long responseDelay = 1;

  /** Number of calls that the store has received. */
  int calls;

  private final ManualExecutor network;
  private final List<Runnable> waiting = new ArrayList<>();
  private String value;
  private long revision = 1;

  ScriptedStore(final ManualExecutor network, final String value) {
    this.network = network;
    this.value = value;
  }

  void put(final String newValue) {
    value = newValue;
    revision++;
    List.copyOf(waiting).forEach(Runnable::run);
    waiting.clear();
  }

  @Override
  public CompletableFuture<ItemPage> range(final String prefix, final String after) {
    final CompletableFuture<ItemPage> response = new CompletableFuture<>();
    request(() -> respond(response, new ItemPage(List.of(item()), false, revision)));
    return response;
  }

  @Override
  public CompletableFuture<WatchBatch> watch(
      final String prefix, final long afterRevision, final Duration wait) {
    final CompletableFuture<WatchBatch> response = new CompletableFuture<>();
    request(
        () -> {
          final Runnable answer = once(() -> respond(response, changesAfter(afterRevision)));
          if (revision > afterRevision) {
            answer.run();
          } else {
            waiting.add(answer);
            network.schedule(answer, wait.toMillis(), TimeUnit.MILLISECONDS);
          }
        });
    return response;
  }

  @Override
  public CompletableFuture<Optional<StoredItem>> get(final String key) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<TransactionResult> commit(final Transaction transaction) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<GrantedLease> grantLease(final Duration ttl) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<Boolean> renewLease(final long lease) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<Void> revokeLease(final long lease) {
    throw new UnsupportedOperationException();
  }

  private WatchBatch changesAfter(final long after) {
    return new WatchBatch(
        false,
        revision > after
            ? List.of(new ItemChange("op/config", Optional.of(item()), revision))
            : List.of(),
        revision);
  }

  private StoredItem item() {
    return new StoredItem("op/config", value.getBytes(StandardCharsets.UTF_8), revision);
  }

  private void request(final Runnable receive) {
    if (requestDelay != LOST) {
      network.schedule(
          () -> {
            calls++;
            receive.run();
          },
          requestDelay,
          TimeUnit.MILLISECONDS);
    }
  }

  private <T> void respond(final CompletableFuture<T> response, final T content) {
    if (responseDelay != LOST) {
      network.schedule(() -> response.complete(content), responseDelay, TimeUnit.MILLISECONDS);
    }
  }

  private static Runnable once(final Runnable action) {
    final boolean[] done = {false};
    return () -> {
      if (!done[0]) {
        done[0] = true;
        action.run();
      }
    };
  }
}
