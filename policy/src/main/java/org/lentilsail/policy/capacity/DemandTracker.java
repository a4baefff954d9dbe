package org.lentilsail.policy.capacity;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.lentilsail.model.fleet.ServiceLoad;
import org.lentilsail.model.record.PoolSpec;
import org.lentilsail.model.record.Records;
import org.lentilsail.model.record.ServiceSpec;
import org.lentilsail.policy.fleet.ReceivedReport;

/** Smoothed demand of the services and what the pools need for it. */
public final class DemandTracker {
  /** Time in ms over which a rise of demand is smoothed; short, since waiting work adds up. */
  private static final double RISE_MILLIS = 2_000;

  /** Time in ms over which a fall of demand is smoothed. */
  private static final double FALL_MILLIS = 10_000;

  /** Slots of one VM. */
  private static final int SLOTS = 8;

  /** Share of its slots that a VM is planned to use, so that short work rarely waits. */
  private static final double PLANNED_USE = 0.85;

  /** Smoothed demand in slots by service. */
  private final Map<String, Double> demand = new HashMap<>();

  /** Needs of the pools that have services, by pool. */
  private final Map<String, PoolDemand> poolDemands = new TreeMap<>();

  /** Order in which the pools have their peaks. */
  private final PeakForecast peakForecast = new PeakForecast();

  /** Wall clock time of the last update, 0 before the first. */
  private long updatedMillis;

  /**
   * Takes in the daemons' reports.
   *
   * @param records the operators' records
   * @param reports the last reports
   * @param nowMillis wall clock time in ms since the Unix epoch
   * @param windowMillis time in ms for which a need is remembered after it has fallen
   */
  void update(
      final Records records,
      final List<ReceivedReport> reports,
      final long nowMillis,
      final long windowMillis) {
    final long stepMillis = updatedMillis == 0 ? 0 : Math.max(0, nowMillis - updatedMillis);
    updatedMillis = nowMillis;
    final Map<String, Double> reported = reported(reports);
    final Map<String, Double> byPool = new HashMap<>();
    for (final ServiceSpec service : records.services().values()) {
      final Double now = reported.get(service.name());
      if (now != null) {
        demand.merge(service.name(), now, (old, value) -> smooth(old, value, stepMillis));
      }
      byPool.merge(service.pool(), demand.getOrDefault(service.name(), 0.0), Double::sum);
    }
    demand.keySet().retainAll(records.services().keySet());
    poolDemands.keySet().retainAll(byPool.keySet());
    for (final Map.Entry<String, Double> pool : byPool.entrySet()) {
      final PoolSpec spec = records.pools().get(pool.getKey());
      if (spec != null) {
        poolDemands
            .computeIfAbsent(pool.getKey(), name -> new PoolDemand(nowMillis))
            .update(need(spec, pool.getValue()), nowMillis, windowMillis);
      }
    }
    peakForecast.update(poolDemands);
  }

  private static Map<String, Double> reported(final List<ReceivedReport> reports) {
    final Map<String, Double> result = new HashMap<>();
    for (final ReceivedReport heard : reports) {
      if (heard.isRecent()) {
        for (final Map.Entry<String, ServiceLoad> load : heard.report().loads().entrySet()) {
          final double slots = load.getValue().busySlots() + load.getValue().queued();
          result.merge(load.getKey(), slots, Double::sum);
        }
      }
    }
    return result;
  }

  private static double smooth(final double old, final double value, final long stepMillis) {
    final double span = value > old ? RISE_MILLIS : FALL_MILLIS;
    return old + (value - old) * (1 - Math.exp(-stepMillis / span));
  }

  private static int need(final PoolSpec pool, final double slots) {
    final int wanted = (int) Math.ceil(slots / (SLOTS * PLANNED_USE));
    final int least = Math.max(wanted, pool.minimumVms());
    return pool.maximumVms() > 0 ? Math.min(least, pool.maximumVms()) : least;
  }

  /**
   * Returns the needs of the pools that have services.
   *
   * @return the needs by pool, in order of name
   */
  Map<String, PoolDemand> poolDemands() {
    return poolDemands;
  }

  /**
   * Returns the order in which the pools have their peaks.
   *
   * @return the order as far as it is known
   */
  PeakForecast peakForecast() {
    return peakForecast;
  }
}
