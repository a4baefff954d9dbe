package org.lentilsail.measure;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import org.HdrHistogram.Histogram;
import org.lentilsail.http.UndertowHttpCaller;
import org.lentilsail.model.time.TimeSource;
import org.lentilsail.platform.HttpPlatformClient;
import org.lentilsail.platform.WriteResult;
import org.lentilsail.standin.platform.PlatformServer;
import org.lentilsail.standin.platform.PlatformSettings;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Measures how long a change takes to be in effect on 7 daemons over the loopback interface, and
 * how many bytes the daemons send for it.
 */
final class DistributionCommand implements MeasureCommand {
  private static final int DAEMONS = 7;

  private static final int ZONES = 3;

  /** Number of changes of each kind. */
  private static final int CHANGES = 100;

  /**
   * Time in ms between changes, so that the heartbeats and pushes of one change do not overlap the
   * next one.
   */
  private static final long CHANGE_INTERVAL_MILLIS = 50;

  /** Time in ms without changes during which the heartbeat traffic is measured. */
  private static final long IDLE_MILLIS = 4_000;

  /** Time limit in ns for a revision to be in effect on all daemons. */
  private static final long REVISION_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);

  private final List<MeasuredDaemon> daemons = new ArrayList<>();

  /** Peer addresses of the daemons by id. */
  private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();

  /** Platform client that writes the changes, as an operator does. */
  private HttpPlatformClient operator;

  /** Bytes per ms that all daemons together send while nothing changes. */
  private double idleBytesPerMilli;

  @Override
  public String name() {
    return "distribution";
  }

  @Override
  public int run(final String[] args) throws Exception {
    measure(new SampleFleet("today", 40, 6));
    measure(new SampleFleet("target", 1_200, 336));
    return 0;
  }

  private void measure(final SampleFleet fleet) throws Exception {
    final XnioWorker worker =
        Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 2));
    final UndertowHttpCaller http = new UndertowHttpCaller(worker, TimeSource.system());
    try (PlatformServer platform =
        new PlatformServer(new PlatformSettings(null, null, null, null, null, null))) {
      operator =
          new HttpPlatformClient(http, platform.address(), "operator", Duration.ofSeconds(9));
      for (final Map.Entry<String, JsonNode> entry : fleet.platformValues().entrySet()) {
        write(entry.getKey(), 0, entry.getValue());
      }
      start(http, platform.address());
      reportHeartbeats(fleet);
      reportChanges(fleet, "record", "config/pool/pool-0", i -> fleet.poolRecord(0, i % 2));
      reportChanges(fleet, "wave-step", SampleFleet.FLEET_KEY, fleet::waveStepDocument);
      reportChanges(fleet, "fleet-document", SampleFleet.FLEET_KEY, fleet::fleetDocument);
      reportSnapshot(fleet, http);
    } finally {
      daemons.forEach(MeasuredDaemon::close);
      daemons.clear();
      addresses.clear();
      http.close();
      worker.shutdownNow();
    }
  }

  private void start(final UndertowHttpCaller http, final InetSocketAddress platform)
      throws Exception {
    for (int i = 0; i < DAEMONS; i++) {
      final String id = "entry-" + i;
      final MeasuredDaemon daemon =
          new MeasuredDaemon(id, "zone-" + i % ZONES, Map.copyOf(addresses), http, platform);
      addresses.put(id, daemon.address());
      daemons.add(daemon);
      daemon.start();
    }
    awaitRevision(daemons, operator.list("").get().revision());
    Thread.sleep(2 * IDLE_MILLIS / 3);
  }

  private void reportHeartbeats(final SampleFleet fleet) throws Exception {
    final long before = sentBytes();
    Thread.sleep(IDLE_MILLIS);
    idleBytesPerMilli = (double) (sentBytes() - before) / IDLE_MILLIS;
    print(fleet, "heartbeats", "bytes/s/daemon", idleBytesPerMilli * 1_000 / DAEMONS);
  }

  private void reportChanges(
      final SampleFleet fleet,
      final String kind,
      final String key,
      final IntFunction<JsonNode> values)
      throws Exception {
    long revision = operator.get(key).get().orElseThrow().revision();
    final Histogram micros = new Histogram(3);
    final long bytesBefore = sentBytes();
    final long start = System.nanoTime();
    for (int i = 1; i <= CHANGES; i++) {
      final JsonNode value = values.apply(i);
      final long sent = System.nanoTime();
      revision = write(key, revision, value).revision();
      awaitRevision(daemons, revision);
      micros.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - sent));
      Thread.sleep(CHANGE_INTERVAL_MILLIS);
    }
    final double elapsedMillis = (System.nanoTime() - start) / 1e6;
    final double bytes = sentBytes() - bytesBefore - idleBytesPerMilli * elapsedMillis;
    print(fleet, kind + "-change", "bytes between all daemons", bytes / CHANGES);
    print(fleet, kind + "-change", "ms to 7 daemons p50", micros.getValueAtPercentile(50) / 1e3);
    print(fleet, kind + "-change", "ms to 7 daemons p99", micros.getValueAtPercentile(99) / 1e3);
    print(fleet, kind + "-change", "ms to 7 daemons max", micros.getMaxValue() / 1e3);
  }

  /** Starts a daemon without a connection to the platform, so that a peer sends it a snapshot. */
  private void reportSnapshot(final SampleFleet fleet, final UndertowHttpCaller http)
      throws Exception {
    final long revision = operator.list("").get().revision();
    final long bytesBefore = sentBytes();
    final long start = System.nanoTime();
    try (MeasuredDaemon lateDaemon =
        new MeasuredDaemon(
            "entry-late", "zone-late", addresses, http, new InetSocketAddress("127.0.0.1", 1))) {
      lateDaemon.start();
      awaitRevision(List.of(lateDaemon), revision);
      final double elapsedMillis = (System.nanoTime() - start) / 1e6;
      print(fleet, "full-snapshot", "ms from start", elapsedMillis);
      print(
          fleet,
          "full-snapshot",
          "bytes",
          sentBytes() - bytesBefore - idleBytesPerMilli * elapsedMillis);
    }
  }

  private WriteResult write(final String key, final long expected, final JsonNode value)
      throws Exception {
    final WriteResult result = operator.compareAndSet(key, expected, value, Optional.empty()).get();
    if (!result.written()) {
      throw new IOException(
          "write of key " + key + " was rejected: its current revision is " + result.revision());
    }
    return result;
  }

  private long sentBytes() {
    return daemons.stream().mapToLong(MeasuredDaemon::sentBytes).sum();
  }

  private static void awaitRevision(final List<MeasuredDaemon> all, final long revision)
      throws IOException {
    final long deadline = System.nanoTime() + REVISION_TIMEOUT_NANOS;
    while (all.stream().anyMatch(d -> d.store().current().revision() < revision)) {
      if (System.nanoTime() - deadline > 0) {
        throw new IOException(
            "revision "
                + revision
                + " is not in effect on all daemons: "
                + Arrays.toString(revisions(all)));
      }
      Thread.onSpinWait();
    }
  }

  private static long[] revisions(final List<MeasuredDaemon> all) {
    return all.stream().mapToLong(daemon -> daemon.store().current().revision()).toArray();
  }

  private static void print(
      final SampleFleet fleet, final String measurement, final String unit, final double value) {
    System.out.printf("%s,%s,%s,%.1f%n", fleet.name(), measurement, unit, value);
  }
}
