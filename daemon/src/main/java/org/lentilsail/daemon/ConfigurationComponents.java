package org.lentilsail.daemon;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.lentilsail.config.PeerSync;
import org.lentilsail.config.PlatformWatcher;
import org.lentilsail.drain.DrainNotices;
import org.lentilsail.platform.VmReport;

/** Brings configuration and drain notices to this daemon and passes them on to its peers. */
final class ConfigurationComponents {
  /** Time in ms between two looks at the drain notices. */
  private static final int NOTICE_TICK_MILLIS = 250;

  /** States in which the platform's list reports a VM that gets no new work. */
  private static final Set<String> ENDING = Set.of("leaving", "gone");

  /** The parts on which this one rests. */
  private final SharedComponents shared;

  /** VMs that get no new work. */
  private final DrainNotices notices;

  /** Watches the platform when it is this daemon's turn. */
  private final PlatformWatcher watcher;

  /**
   * Creates the parts; call it before the network starts.
   *
   * @param shared the parts on which this one rests
   * @param onNotices receives the VMs that get no new work
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
            this::noticeLeaving);
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
            notices::tick, NOTICE_TICK_MILLIS, NOTICE_TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void noticeLeaving(final List<VmReport> list) {
    notices.announceLeaving(
        list.stream()
            .filter(vm -> ENDING.contains(vm.state()))
            .map(VmReport::vm)
            .collect(Collectors.toUnmodifiableSet()));
  }
}
