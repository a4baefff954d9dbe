package org.lentilsail.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Calls the platform. Each method counts as one call of the platform's quota. A future fails with
 * {@code LentilsailException}: {@code PLATFORM_UNAVAILABLE} when the call had no effect, {@code
 * OUTCOME_UNKNOWN} when it may have had one.
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
   * @param lease id of the lease that removes the key when it lapses, empty for a lasting key
   * @return the new revision, or the present value when the revision differs
   */
  CompletableFuture<WriteResult> compareAndSet(
      String key, long expectedRevision, JsonNode value, Optional<String> lease);

  /**
   * Deletes a key if its revision is the expected one.
   *
   * @param key the key
   * @param expectedRevision revision that the key must have
   * @return the revision of the deletion, or the present value when the revision differs
   */
  CompletableFuture<WriteResult> delete(String key, long expectedRevision);

  /**
   * Waits for changes of keys with a prefix. A waiting watch counts as one call.
   *
   * @param prefix start of the keys
   * @param afterRevision only changes with a higher revision are returned
   * @param wait how long the platform waits for a change before it answers with none
   * @return the changes in order of revision; {@code complete} is false when the platform no longer
   *     has all changes after that revision, and the caller has to list again
   */
  CompletableFuture<WatchResult> watch(String prefix, long afterRevision, Duration wait);

  /**
   * Creates a lease.
   *
   * @param timeToLive time after which it lapses without renewal
   * @return the id of the lease
   */
  CompletableFuture<String> grantLease(Duration timeToLive);

  /**
   * Renews a lease.
   *
   * @param lease id of the lease
   * @return false when the lease has lapsed
   */
  CompletableFuture<Boolean> keepAlive(String lease);

  /**
   * Ends a lease and removes its keys.
   *
   * @param lease id of the lease
   * @return completes when the lease is gone
   */
  CompletableFuture<Void> revokeLease(String lease);

  /**
   * Reads the list of VMs, which lags.
   *
   * @return the VMs as the platform last saw them
   */
  CompletableFuture<List<VmReport>> vms();

  /**
   * Asks for an operation on a VM. The platform does nothing when the VM has another boot
   * generation, so a late repeat is harmless.
   *
   * @param vm name of the VM
   * @param operation what to do
   * @param bootGeneration boot generation for which the operation is meant
   * @return false when the VM has another boot generation
   */
  CompletableFuture<Boolean> operate(String vm, VmOperation operation, long bootGeneration);

  @Override
  void close();
}
