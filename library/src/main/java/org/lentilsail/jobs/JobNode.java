package org.lentilsail.jobs;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.lentilsail.model.job.JobConfiguration;
import org.lentilsail.model.job.WaveRequest;
import org.lentilsail.policy.access.AccessControl;
import org.lentilsail.policy.access.AccessSnapshot;
import org.lentilsail.store.ObservedStore;
import org.lentilsail.store.PrefixWatcher;
import org.lentilsail.store.StoreRetries;

/**
 * The job scheduling component of a daemon: watches the operators' configuration, takes part in the
 * leader election, and runs job control while this daemon is the leader. Confined to the control
 * thread, except where noted.
 */
public final class JobNode implements TermListener {
  /**
   * Time to live in ms of the leader lease; a killed leader is replaced after it. A short task that
   * arrives right after the loss of the leader can still meet its latency objective.
   */
  private static final long LEADER_LEASE_MILLIS = 1_200;

  /** Minimum time between two watch requests for configurations. */
  private static final Duration WATCH_INTERVAL = Duration.ofMillis(5);

  private final ControlContext context;
  private final StoreRetries retries;
  private final Election election;
  private final OperatorItems operatorItems;
  private final PrefixWatcher operatorWatcher;
  private final JobApi jobApi;
  private final StoreAvailability availability;
  private final Map<Long, WaveRequest> waves = new LinkedHashMap<>();
  private JobControl control;

  /**
   * Creates a node that has not been started.
   *
   * @param context dependencies of job control
   * @param daemon id of this daemon
   * @param cpuMillis CPU of the VM of this daemon in millicores
   */
  public JobNode(final ControlContext context, final String daemon, final long cpuMillis) {
    this.availability = new StoreAvailability(context.time());
    this.retries =
        new StoreRetries(context.executor(), context.time(), this::probeStore, this::storeReturned);
    this.context = context.withStore(new ObservedStore(context.store(), retries));
    this.jobApi =
        new JobApi(
            this.context.store(), context.executor(), context.log(), context.time(), availability);
    this.election =
        new Election(
            this.context.store(),
            daemon,
            context.executor(),
            context.time(),
            context.log(),
            Duration.ofMillis(
                Math.max(LEADER_LEASE_MILLIS, context.bounds().minStoreLeaseMillis())),
            new CapacityPreference(cpuMillis),
            this,
            retries);
    this.operatorItems =
        new OperatorItems(
            context.documents(),
            new AccessControl(context.time(), context.bounds().revocation()),
            this::applyConfiguration,
            this::applyWaveRequest,
            availability::recordSuccess);
    this.operatorWatcher =
        new PrefixWatcher(
            this.context.store(),
            context.documents().operatorPrefix(),
            operatorItems,
            context.executor(),
            context.time(),
            WATCH_INTERVAL,
            new OperatorWatchTimeout(context.bounds().revocation(), operatorItems.access()),
            retries);
  }

  /** Starts to watch the store; may be called from any thread. */
  public void start() {
    operatorWatcher.start();
    election.start();
  }

  /** Resigns leadership if this daemon is the leader; may be called from any thread. */
  public void resign() {
    context.executor().execute(election::resign);
  }

  /**
   * Returns whether this daemon has resigned and the store has not confirmed it yet; the next
   * leader may have to wait for the lease. May be called from any thread.
   *
   * @return true while the release of the lease is repeated
   */
  public boolean isReleasing() {
    return election.isReleasing();
  }

  /**
   * Returns the operations that callers can perform on jobs; may be called from any thread.
   *
   * @return the API
   */
  public JobApi jobApi() {
    return jobApi;
  }

  /**
   * Returns the configuration in effect; may be called from any thread.
   *
   * @return the configuration, empty before the first one has been received
   */
  public Optional<JobConfiguration> configuration() {
    return operatorItems.access().snapshot().map(AccessSnapshot::configuration);
  }

  /**
   * Returns what decides whether a call is served; may be called from any thread.
   *
   * @return configuration in effect with its age, empty before the first one has been received
   */
  public Optional<AccessSnapshot> access() {
    return operatorItems.access().snapshot();
  }

  /**
   * Returns for how long the store has been unavailable to this daemon; may be called from any
   * thread.
   *
   * @return time in ns, 0 while the store is available
   */
  public long storeUnavailableNanos() {
    return availability.unavailableNanos();
  }

  @Override
  public void elected(final Term term, final boolean uninterrupted) {
    if (uninterrupted && control != null) {
      control.resume(term);
      return;
    }
    leadershipLost();
    control =
        new JobControl(
            context, election, term, configuration().orElseGet(JobConfiguration::empty), retries);
    waves.values().forEach(control::requestWave);
    control.start();
  }

  @Override
  public void leadershipConfirmed() {
    if (control != null) {
      control.leadershipConfirmed();
    }
  }

  @Override
  public void leadershipLost() {
    if (control != null) {
      control.close();
      control = null;
    }
  }

  private void storeReturned() {
    availability.recordSuccess();
    context.metrics().recordStoreReturn();
  }

  private void probeStore() {
    context.store().get(StoreKeys.TERM);
  }

  private void applyConfiguration(final JobConfiguration received) {
    context.log().log(
        "configuration-in-force",
        "version",
        received.version(),
        "queues",
        received.queues().size(),
        "organisations",
        received.organisations().size());
    if (control != null) {
      control.configuration(received);
    }
  }

  private void applyWaveRequest(final WaveRequest request) {
    waves.put(request.number(), request);
    if (control != null) {
      control.requestWave(request);
    }
  }
}
