package org.lentilsail.daemon;

import static org.lentilsail.concurrent.Callbacks.loggedTask;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.lentilsail.config.PeerSync;
import org.lentilsail.config.PlatformWatcher;
import org.lentilsail.drain.DrainNotices;
import org.lentilsail.platform.VmReport;

/** Components that receive the configuration and drain notices and distribute them to peers. */
final class ConfigurationComponents {
  /** Interval in ms at which expired drain notices are removed. */
  private static final int NOTICE_TICK_MILLIS = 250;

  /** VM states in the platform's VM list that mean that the VM must receive no new work. */
  private static final Set<String> LEAVING_STATES = Set.of("leaving", "gone");

  private final SharedComponents shared;

  /** Tracks the VMs that must receive no new work. */
  private final DrainNotices notices;

  /** Watches the platform while this daemon is responsible for it in its availability zone. */
  private final PlatformWatcher watcher;

  /**
   * Creates the components; must be called before the network starts.
   *
   * @param shared components that this group depends on
   * @param onNotices receives the VMs that must receive no new work
   */
  ConfigurationComponents(final SharedComponents shared, final Consumer<Set<String>> onNotices) {
    this.shared = shared;
    notices =
        new DrainNotices(shared.network(), shared.time(), shared.threads().control(), onNotices);
    final String zone = shared.settings().availabilityZone();
    final PeerSync sync =
        new PeerSync(shared.configuration(), shared.network(), shared.threads().control(), zone);
    shared.network().onHeartbeat(sync::onHeartbeat);
    shared.configuration().onChange(notices::configure);
    watcher =
        new PlatformWatcher(
            shared.platform(),
            shared.configuration(),
            sync,
            shared.network(),
            shared.health(),
            shared.time(),
            shared.threads().control(),
            zone,
            this::announceLeavingVms);
  }

  DrainNotices notices() {
    return notices;
  }

  PlatformWatcher watcher() {
    return watcher;
  }

  void start() {
    watcher.start();
    shared
        .threads()
        .control()
        .scheduleWithFixedDelay(
            loggedTask("notices", notices::tick),
            NOTICE_TICK_MILLIS,
            NOTICE_TICK_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  private void announceLeavingVms(final List<VmReport> list) {
    notices.announceLeaving(
        list.stream()
            .filter(vm -> LEAVING_STATES.contains(vm.state()))
            .map(VmReport::vm)
            .collect(Collectors.toUnmodifiableSet()));
  }
}
