package org.lentilsail.jobs;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lentilsail.model.job.JobConfiguration;
import org.lentilsail.model.job.WaveRequest;
import org.lentilsail.store.ItemChange;
import org.lentilsail.store.PrefixListener;
import org.lentilsail.store.PrefixWatcher;
import org.lentilsail.store.StoredItem;

/**
 * The job side of a daemon: follows the operators' configuration, takes part in the election, and
 * runs control while it holds it. Owned by the control thread, except where noted.
 */
public final class JobNode implements PrefixListener, TermListener {
  /** Life of the holder's lease without renewal; a killed holder is replaced after it. */
  private static final Duration HOLDER_LEASE = Duration.ofMillis(2_000);

  /** Least time between two watches for configurations. */
  private static final Duration WATCH_INTERVAL = Duration.ofMillis(5);

  private final ControlContext parts;
  private final Election election;
  private final PrefixWatcher operators;
  private final JobApi jobApi;
  private final StoreAvailability availability;
  private final Map<Long, WaveRequest> waves = new LinkedHashMap<>();
  private volatile JobConfiguration configuration;
  private JobControl control;

  /**
   * Creates a node that has not started.
   *
   * @param parts what control needs
   * @param daemon id of this daemon
   * @param processor processor of its VM in thousandths of a core
   */
  public JobNode(final ControlContext parts, final String daemon, final long processor) {
    this.parts = parts;
    this.availability = new StoreAvailability(parts.time());
    this.jobApi =
        new JobApi(parts.store(), parts.executor(), parts.log(), parts.time(), availability);
    this.election =
        new Election(
            parts.store(),
            daemon,
            parts.executor(),
            parts.time(),
            parts.log(),
            HOLDER_LEASE,
            new CapacityPreference(processor),
            this);
    this.operators =
        new PrefixWatcher(
            parts.store(),
            parts.documents().operatorPrefix(),
            this,
            parts.executor(),
            parts.time(),
            WATCH_INTERVAL);
  }

  /** Starts to follow the store; callable from any thread. */
  public void start() {
    operators.start();
    election.start();
  }

  /** Gives up control, if this daemon holds it; callable from any thread. */
  public void resign() {
    parts.executor().execute(election::resign);
  }

  /**
   * Returns what callers can do with jobs; callable from any thread.
   *
   * @return the gate
   */
  public JobApi jobApi() {
    return jobApi;
  }

  /**
   * Returns the configuration in force; callable from any thread.
   *
   * @return the configuration, empty before the first one
   */
  public Optional<JobConfiguration> configuration() {
    return Optional.ofNullable(configuration);
  }

  /**
   * Tells how long the store has not served this daemon; callable from any thread.
   *
   * @return time in ns
   */
  public long storeUnavailableNanos() {
    return availability.unavailableNanos();
  }

  @Override
  public void onSnapshot(final List<StoredItem> items) {
    items.forEach(this::take);
  }

  @Override
  public void onChange(final ItemChange change) {
    change.item().ifPresent(this::take);
  }

  @Override
  public void onBatchEnd() {
    availability.recordSuccess();
  }

  @Override
  public void elected(final Term term, final boolean uninterrupted) {
    if (uninterrupted && control != null) {
      control.resume(term);
      return;
    }
    leadershipLost();
    final JobConfiguration present =
        configuration == null ? new JobConfiguration(0, List.of(), List.of(), 0) : configuration;
    control = new JobControl(parts, election, term, present);
    waves.values().forEach(control::requestWave);
    control.start();
  }

  @Override
  public void leadershipLost() {
    if (control != null) {
      control.close();
      control = null;
    }
  }

  private void take(final StoredItem item) {
    parts.documents().configuration(item).ifPresent(this::configured);
    parts.documents().wave(item).ifPresent(this::waveRequested);
  }

  private void configured(final JobConfiguration present) {
    if (configuration != null && present.version() <= configuration.version()) {
      return;
    }
    configuration = present;
    parts.log().log(
        "configuration-in-force", "version", present.version(), "queues", present.queues().size());
    if (control != null) {
      control.configuration(present);
    }
  }

  private void waveRequested(final WaveRequest request) {
    waves.put(request.number(), request);
    if (control != null) {
      control.requestWave(request);
    }
  }
}
