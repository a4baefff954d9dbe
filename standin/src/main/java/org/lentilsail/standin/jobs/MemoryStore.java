package org.lentilsail.standin.jobs;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.time.TimeSource;
import org.lentilsail.store.GrantedLease;
import org.lentilsail.store.ItemChange;
import org.lentilsail.store.ItemPage;
import org.lentilsail.store.KeyValueStore;
import org.lentilsail.store.StoredItem;
import org.lentilsail.store.Transaction;
import org.lentilsail.store.TransactionResult;
import org.lentilsail.store.WatchBatch;

/** In-memory implementation of the platform's store. Thread-safe. */
public final class MemoryStore {
  /** Default maximum number of items in a page. */
  private static final int PAGE_SIZE = 500;

  private final TimeSource time;
  private final ScheduledExecutorService executor;
  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final ChangeHistory history = new ChangeHistory();
  private final Map<Long, Long> leaseExpiries = new HashMap<>();
  private final Map<Long, Long> timesToLive = new HashMap<>();
  private final StoreFaults faults = new StoreFaults();
  private final Map<String, LongSupplier> answerDelays = new HashMap<>();
  private int pageSize = PAGE_SIZE;
  private long pageDelayMillis;
  private long revision = 1;
  private long leaseCount;
  private boolean leasesPaused;
  private long leasesPausedAt;
  private Consumer<Boolean> callListener = isWrite -> {};

  /**
   * An item with its lease.
   *
   * @param item the item
   * @param lease id of its lease, 0 for none
   */
  private record Entry(StoredItem item, long lease) {}

  /**
   * Creates an empty store.
   *
   * @param time clock for the expiry of leases
   * @param executor runs delayed responses and the expiry of leases
   */
  public MemoryStore(final TimeSource time, final ScheduledExecutorService executor) {
    this.time = time;
    this.executor = executor;
  }

  /**
   * Returns the store as seen by one daemon.
   *
   * @param daemon id of the daemon
   * @return client of the store, subject to the faults of the daemon
   */
  public KeyValueStore client(final String daemon) {
    return new MemoryStoreClient(this, daemon, executor);
  }

  /**
   * Sets the fault between a daemon and the store.
   *
   * @param daemon id of the daemon
   * @param fault the fault, {@link StoreFault#NONE} to clear it
   */
  public void fault(final String daemon, final StoreFault fault) {
    faults.set(daemon, fault);
  }

  /**
   * Sets the fault of the transactions of a daemon that write or remove items with a prefix, while
   * the store serves its other calls.
   *
   * @param daemon id of the daemon
   * @param prefix prefix of the keys
   * @param fault the fault, {@link StoreFault#NONE} to clear it
   */
  public void faultWrites(final String daemon, final String prefix, final StoreFault fault) {
    faults.setOfWrites(daemon, prefix, fault);
  }

  /**
   * Delays the answers of writes to a daemon, so that answers of watches may overtake them.
   *
   * @param daemon id of the daemon
   * @param millis delay in ms of the next answer, below the timeout of a call
   */
  public synchronized void delayAnswers(final String daemon, final LongSupplier millis) {
    answerDelays.put(daemon, millis);
  }

  /**
   * Limits the pages of lists and delays their answers; a page shows the items at the time at which
   * its request arrived.
   *
   * @param items maximum number of items in a page
   * @param delayMillis delay in ms of the answer of each page
   */
  public synchronized void pages(final int items, final long delayMillis) {
    pageSize = items;
    pageDelayMillis = delayMillis;
  }

  /**
   * Sets what is notified of each call that reaches the store, also of calls that it refuses.
   *
   * @param listener receives whether the call is a write
   */
  public void onCall(final Consumer<Boolean> listener) {
    callListener = listener;
  }

  /** Pauses all leases, as a store may do while it is down; none expires until they resume. */
  public synchronized void pauseLeases() {
    expireLeases();
    leasesPaused = true;
    leasesPausedAt = time.nanos();
  }

  /** Resumes all leases with the time that they had left. */
  public synchronized void resumeLeases() {
    final long paused = time.nanos() - leasesPausedAt;
    leasesPaused = false;
    leaseExpiries.replaceAll((lease, expiry) -> expiry + paused);
    leaseExpiries
        .values()
        .forEach(
            expiry ->
                executor.schedule(this::expireLeases, expiry - time.nanos(), TimeUnit.NANOSECONDS));
  }

  /** Compacts the history, so that the clients of watches have to read all items again. */
  public synchronized void compact() {
    history.compact(revision);
  }

  /**
   * Writes an item without preconditions, as operators and workers do.
   *
   * @param key its key
   * @param value its value
   */
  public synchronized void put(final String key, final byte[] value) {
    revision++;
    write(key, value, 0);
    notifyWaiters();
  }

  /**
   * Removes an item.
   *
   * @param key its key
   */
  public synchronized void remove(final String key) {
    revision++;
    delete(key);
    notifyWaiters();
  }

  /**
   * Reads an item.
   *
   * @param key its key
   * @return the item, empty when there is none
   */
  public synchronized Optional<StoredItem> get(final String key) {
    expireLeases();
    return Optional.ofNullable(entries.get(key)).map(Entry::item);
  }

  void recordCall(final boolean isWrite) {
    callListener.accept(isWrite);
  }

  synchronized long answerDelayMillis(final String daemon) {
    return answerDelays.getOrDefault(daemon, () -> 0L).getAsLong();
  }

  synchronized long pageDelayMillis() {
    return pageDelayMillis;
  }

  StoreFaults faults() {
    return faults;
  }

  synchronized ItemPage range(final String prefix, final String after) {
    expireLeases();
    final List<StoredItem> items = new ArrayList<>();
    final String from = after.isEmpty() ? prefix : after;
    for (final Map.Entry<String, Entry> entry : entries.tailMap(from, after.isEmpty()).entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        break;
      }
      if (items.size() == pageSize) {
        return new ItemPage(items, true, revision);
      }
      items.add(entry.getValue().item());
    }
    return new ItemPage(items, false, revision);
  }

  synchronized CompletableFuture<WatchBatch> watch(
      final String prefix, final long after, final Duration wait) {
    expireLeases();
    if (history.isCompactedAfter(after)) {
      return CompletableFuture.completedFuture(new WatchBatch(true, List.of(), 0));
    }
    final WatchBatch found = history.changes(prefix, after, revision);
    if (!found.changes().isEmpty()) {
      return CompletableFuture.completedFuture(found);
    }
    final ChangeHistory.Waiter waiter = history.await(prefix, after);
    executor.schedule(() -> timeOut(waiter), wait.toMillis(), TimeUnit.MILLISECONDS);
    return waiter.response();
  }

  synchronized TransactionResult commit(final Transaction transaction) {
    expireLeases();
    final List<StoredItem> current = new ArrayList<>();
    boolean conditionsHold = true;
    for (final Transaction.Condition condition : transaction.conditions()) {
      final Entry entry = entries.get(condition.key());
      conditionsHold &= (entry == null ? 0 : entry.item().revision()) == condition.revision();
      if (entry != null) {
        current.add(entry.item());
      }
    }
    if (!conditionsHold) {
      return new TransactionResult(false, 0, current);
    }
    for (final Transaction.Write write : transaction.writes()) {
      if (write.lease() != 0 && !timesToLive.containsKey(write.lease())) {
        throw new LentilsailException(
            ErrorCode.PLATFORM_UNAVAILABLE, "the lease has ended", "request another lease");
      }
    }
    revision++;
    transaction.writes().forEach(write -> write(write.key(), write.value(), write.lease()));
    transaction.removals().forEach(this::delete);
    notifyWaiters();
    return new TransactionResult(true, revision, List.of());
  }

  synchronized GrantedLease grant(final Duration ttl) {
    leaseCount++;
    timesToLive.put(leaseCount, ttl.toNanos());
    renew(leaseCount);
    return new GrantedLease(leaseCount, ttl.toMillis());
  }

  synchronized boolean renew(final long lease) {
    expireLeases();
    final Long timeToLive = timesToLive.get(lease);
    if (timeToLive == null) {
      return false;
    }
    leaseExpiries.put(lease, time.nanos() + timeToLive);
    executor.schedule(this::expireLeases, timeToLive, TimeUnit.NANOSECONDS);
    return true;
  }

  /**
   * Revokes a lease and removes its items.
   *
   * @param lease id of the lease
   */
  public synchronized void revoke(final long lease) {
    leaseExpiries.remove(lease);
    timesToLive.remove(lease);
    final List<String> keys = new ArrayList<>();
    entries.forEach(
        (key, entry) -> {
          if (entry.lease() == lease) {
            keys.add(key);
          }
        });
    revision++;
    keys.forEach(this::delete);
    notifyWaiters();
  }

  private synchronized void expireLeases() {
    if (leasesPaused) {
      return;
    }
    final List<Long> expired = new ArrayList<>();
    leaseExpiries.forEach(
        (lease, expiry) -> {
          if (time.nanos() >= expiry) {
            expired.add(lease);
          }
        });
    expired.forEach(this::revoke);
  }

  private void write(final String key, final byte[] value, final long lease) {
    final StoredItem item = new StoredItem(key, value, revision);
    entries.put(key, new Entry(item, lease));
    history.add(new ItemChange(key, Optional.of(item), revision));
  }

  private void delete(final String key) {
    if (entries.remove(key) != null) {
      history.add(new ItemChange(key, Optional.empty(), revision));
    }
  }

  private void notifyWaiters() {
    history.answered(revision).forEach(executor::execute);
  }

  private synchronized void timeOut(final ChangeHistory.Waiter waiter) {
    history.timeOut(waiter, revision);
  }
}
