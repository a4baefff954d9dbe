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
import org.lentilsail.model.time.TimeSource;
import org.lentilsail.store.GrantedLease;
import org.lentilsail.store.ItemChange;
import org.lentilsail.store.ItemPage;
import org.lentilsail.store.KeyValueStore;
import org.lentilsail.store.StoredItem;
import org.lentilsail.store.Transaction;
import org.lentilsail.store.TransactionResult;
import org.lentilsail.store.WatchBatch;

/** The platform's store in memory. Thread-safe. */
public final class MemoryStore {
  /** Items of one page. */
  private static final int PAGE = 500;

  private final TimeSource time;
  private final ScheduledExecutorService executor;
  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final List<ItemChange> history = new ArrayList<>();
  private final Map<Long, Long> leases = new HashMap<>();
  private final Map<Long, Long> lifetimes = new HashMap<>();
  private final Map<String, StoreFault> faults = new HashMap<>();
  private final List<Waiter> waiters = new ArrayList<>();
  private long revision = 1;
  private long historyStart = 1;
  private long leaseCount;

  /**
   * An item with its lease.
   *
   * @param item the item
   * @param lease number of its lease, 0 for none
   */
  private record Entry(StoredItem item, long lease) {}

  /**
   * A watch that waits for a change.
   *
   * @param prefix begin of the keys
   * @param after revision after which changes are wanted
   * @param answer the answer
   */
  private record Waiter(String prefix, long after, CompletableFuture<WatchBatch> answer) {}

  /**
   * Creates an empty store.
   *
   * @param time clock of leases
   * @param executor runs delayed answers and the ends of leases
   */
  public MemoryStore(final TimeSource time, final ScheduledExecutorService executor) {
    this.time = time;
    this.executor = executor;
  }

  /**
   * Returns the store as one daemon sees it.
   *
   * @param daemon id of the daemon
   * @return the store
   */
  public KeyValueStore client(final String daemon) {
    return new MemoryStoreClient(this, daemon, executor);
  }

  /**
   * Changes what is wrong between a daemon and the store.
   *
   * @param daemon id of the daemon
   * @param fault what is wrong
   */
  public synchronized void fault(final String daemon, final StoreFault fault) {
    faults.put(daemon, fault);
  }

  /** Drops the history, so that watches have to read all items again. */
  public synchronized void compact() {
    history.clear();
    historyStart = revision;
  }

  /**
   * Writes an item without conditions, as operators and workers do.
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

  synchronized StoreFault faultOf(final String daemon) {
    return faults.getOrDefault(daemon, StoreFault.NONE);
  }

  synchronized ItemPage range(final String prefix, final String after) {
    expireLeases();
    final List<StoredItem> items = new ArrayList<>();
    final String from = after.isEmpty() ? prefix : after;
    for (final Map.Entry<String, Entry> entry : entries.tailMap(from, after.isEmpty()).entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        break;
      }
      if (items.size() == PAGE) {
        return new ItemPage(items, true, revision);
      }
      items.add(entry.getValue().item());
    }
    return new ItemPage(items, false, revision);
  }

  synchronized CompletableFuture<WatchBatch> watch(
      final String prefix, final long after, final Duration wait) {
    expireLeases();
    if (after < historyStart) {
      return CompletableFuture.completedFuture(new WatchBatch(true, List.of(), 0));
    }
    final WatchBatch found = changes(prefix, after);
    if (!found.changes().isEmpty()) {
      return CompletableFuture.completedFuture(found);
    }
    final Waiter waiter = new Waiter(prefix, after, new CompletableFuture<>());
    waiters.add(waiter);
    executor.schedule(() -> giveUp(waiter), wait.toMillis(), TimeUnit.MILLISECONDS);
    return waiter.answer();
  }

  synchronized TransactionResult commit(final Transaction commit) {
    expireLeases();
    final List<StoredItem> present = new ArrayList<>();
    boolean holds = true;
    for (final Transaction.Condition condition : commit.conditions()) {
      final Entry entry = entries.get(condition.key());
      holds &= (entry == null ? 0 : entry.item().revision()) == condition.revision();
      if (entry != null) {
        present.add(entry.item());
      }
    }
    if (!holds) {
      return new TransactionResult(false, 0, present);
    }
    revision++;
    commit.writes().forEach(write -> write(write.key(), write.value(), write.lease()));
    commit.removals().forEach(this::delete);
    notifyWaiters();
    return new TransactionResult(true, revision, List.of());
  }

  synchronized GrantedLease grant(final Duration ttl) {
    leaseCount++;
    lifetimes.put(leaseCount, ttl.toNanos());
    renew(leaseCount);
    return new GrantedLease(leaseCount, ttl.toMillis());
  }

  synchronized boolean renew(final long lease) {
    expireLeases();
    final Long lifetime = lifetimes.get(lease);
    if (lifetime == null) {
      return false;
    }
    leases.put(lease, time.nanos() + lifetime);
    executor.schedule(this::expire, lifetime, TimeUnit.NANOSECONDS);
    return true;
  }

  /**
   * Ends a lease and removes its items.
   *
   * @param lease number of the lease
   */
  public synchronized void revoke(final long lease) {
    leases.remove(lease);
    lifetimes.remove(lease);
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

  private synchronized void expire() {
    expireLeases();
  }

  private void expireLeases() {
    final List<Long> over = new ArrayList<>();
    leases.forEach(
        (lease, expiry) -> {
          if (time.nanos() >= expiry) {
            over.add(lease);
          }
        });
    over.forEach(this::revoke);
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

  private WatchBatch changes(final String prefix, final long after) {
    final List<ItemChange> found = new ArrayList<>();
    for (final ItemChange change : history) {
      if (change.revision() > after && change.key().startsWith(prefix)) {
        found.add(change);
      }
    }
    return new WatchBatch(false, found, revision);
  }

  private void notifyWaiters() {
    for (final Waiter waiter : List.copyOf(waiters)) {
      final WatchBatch found = changes(waiter.prefix(), waiter.after());
      if (!found.changes().isEmpty()) {
        waiters.remove(waiter);
        executor.execute(() -> waiter.answer().complete(found));
      }
    }
  }

  private synchronized void giveUp(final Waiter waiter) {
    if (waiters.remove(waiter)) {
      waiter.answer().complete(new WatchBatch(false, List.of(), revision));
    }
  }
}
