package org.lentilsail.jobs;

import java.util.List;
import java.util.function.Consumer;
import org.lentilsail.concurrent.Callbacks;
import org.lentilsail.model.job.JobConfiguration;
import org.lentilsail.model.job.WaveRequest;
import org.lentilsail.model.time.ClockReading;
import org.lentilsail.policy.access.AccessControl;
import org.lentilsail.policy.access.AccessSnapshot;
import org.lentilsail.store.ItemChange;
import org.lentilsail.store.PrefixListener;
import org.lentilsail.store.StoredItem;

/**
 * Applies the items that operators write, and then records that the configuration is the newest.
 * Confined to the control thread.
 */
final class OperatorItems implements PrefixListener {
  private final FleetDocuments documents;
  private final AccessControl access;
  private final Consumer<JobConfiguration> configurationChanged;
  private final Consumer<WaveRequest> waveRequested;
  private final Runnable batchApplied;

  /** Whether the current response contains a configuration that has not been applied. */
  private boolean hasUnreadConfiguration;

  OperatorItems(
      final FleetDocuments documents,
      final AccessControl access,
      final Consumer<JobConfiguration> configurationChanged,
      final Consumer<WaveRequest> waveRequested,
      final Runnable batchApplied) {
    this.documents = documents;
    this.access = access;
    this.configurationChanged = configurationChanged;
    this.waveRequested = waveRequested;
    this.batchApplied = batchApplied;
  }

  /** Returns the configuration with its evidence; may be called from any thread. */
  AccessControl access() {
    return access;
  }

  @Override
  public void onSnapshot(final List<StoredItem> items) {
    Callbacks.forEach("operator item", items, this::applyItem);
  }

  @Override
  public void onChange(final ItemChange change) {
    change.item().ifPresent(this::applyItem);
  }

  @Override
  public void onBatchEnd() {
    batchApplied.run();
  }

  @Override
  public void onResponseApplied(final ClockReading sentAt) {
    if (hasUnreadConfiguration) {
      hasUnreadConfiguration = false;
      access.dropEvidence();
    } else {
      access.confirm(sentAt);
    }
  }

  private void applyItem(final StoredItem item) {
    if (documents.isConfiguration(item)) {
      hasUnreadConfiguration = true;
      documents
          .configuration(item)
          .ifPresent(
              received -> {
                applyConfiguration(received);
                hasUnreadConfiguration = false;
              });
    }
    documents.wave(item).ifPresent(waveRequested);
  }

  private void applyConfiguration(final JobConfiguration received) {
    if (received.version() > knownVersion()) {
      access.configure(received);
      configurationChanged.accept(received);
    }
  }

  private long knownVersion() {
    return access
        .snapshot()
        .map(AccessSnapshot::configuration)
        .map(JobConfiguration::version)
        .orElse(Long.MIN_VALUE);
  }
}
