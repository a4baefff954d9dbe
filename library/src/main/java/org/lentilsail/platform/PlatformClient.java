package org.lentilsail.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Client of the platform. Each method counts as one call of the platform's quota. A future fails
 * with {@code LentilsailException}: {@code PLATFORM_UNAVAILABLE} when the call had no effect,
 * {@code OUTCOME_UNKNOWN} when it may have had one.
 */
public interface PlatformClient extends AutoCloseable {
  /**
   * Reads one key.
   *
   * @param key the key
   * @return the value with its revision, empty when the key does not exist
   */
  CompletableFuture<Optional<VersionedValue>> get(String key);

  /**
   * Reads all keys with a prefix.
   *
   * @param prefix start of the keys
   * @return the values and the revision of the service at which they were read
   */
  CompletableFuture<Listing> list(String prefix);

  /**
   * Writes a key if its revision is the expected one.
   *
   * @param key the key
   * @param expectedRevision revision that the key must have, 0 for a key that must not exist
   * @param value the new value
   * @param lease id of the lease with whose expiry the key is removed, empty for a permanent key
   * @return the new revision, or the current value when the revision differs
   */
  CompletableFuture<WriteResult> compareAndSet(
      String key, long expectedRevision, JsonNode value, Optional<String> lease);

  /**
   * Deletes a key if its revision is the expected one.
   *
   * @param key the key
   * @param expectedRevision revision that the key must have
   * @return the revision of the deletion, or the current value when the revision differs
   */
  CompletableFuture<WriteResult> delete(String key, long expectedRevision);

  /**
   * Waits for changes of keys with a prefix (long polling). A waiting watch counts as one call.
   *
   * @param prefix start of the keys
   * @param afterRevision only changes with a higher revision are returned
   * @param wait how long the platform waits for a change before it replies without one
   * @return the changes in order of revision; {@code complete} is false when the platform no longer
   *     has all changes after that revision, and the caller has to list again
   */
  CompletableFuture<WatchResult> watch(String prefix, long afterRevision, Duration wait);

  /**
   * Creates a lease.
   *
   * @param timeToLive time after which the lease expires without renewal
   * @return the id of the lease
   */
  CompletableFuture<String> grantLease(Duration timeToLive);

  /**
   * Renews a lease.
   *
   * @param lease id of the lease
   * @return false when the lease has expired
   */
  CompletableFuture<Boolean> keepAlive(String lease);

  /**
   * Revokes a lease and removes its keys.
   *
   * @param lease id of the lease
   * @return completes when the lease is revoked
   */
  CompletableFuture<Void> revokeLease(String lease);

  /**
   * Reads the list of VMs, which may be out of date.
   *
   * @return the VMs as last observed by the platform
   */
  CompletableFuture<List<VmReport>> vms();

  /**
   * Requests an operation on a VM. It has no effect when the VM has another boot generation, so a
   * late repetition is harmless.
   *
   * @param vm name of the VM
   * @param operation the operation
   * @param bootGeneration boot generation for which the operation is meant
   * @return false when the VM has another boot generation
   */
  CompletableFuture<Boolean> operate(String vm, VmOperation operation, long bootGeneration);

  @Override
  void close();
}
