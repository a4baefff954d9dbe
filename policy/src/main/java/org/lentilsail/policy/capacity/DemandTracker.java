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

/** Tracks the smoothed demand of the services and the VMs that their pools require for it. */
public final class DemandTracker {
  /** Time constant in ms for smoothing a rise of demand; short, since queued work accumulates. */
  private static final double RISE_MILLIS = 2_000;

  /** Time constant in ms for smoothing a fall of demand. */
  private static final double FALL_MILLIS = 10_000;

  private static final int SLOTS_PER_VM = 8;

  /** Planned utilisation of a VM's slots; below 1 so that short work rarely waits. */
  private static final double PLANNED_UTILISATION = 0.85;

  /** Smoothed demand in slots by service. */
  private final Map<String, Double> demand = new HashMap<>();

  /** Demand of the pools that have services, by pool. */
  private final Map<String, PoolDemand> poolDemands = new TreeMap<>();

  private final PeakForecast peakForecast = new PeakForecast();

  /** Wall clock time of the last update, 0 before the first. */
  private long updatedMillis;

  /**
   * Updates the demand from the daemons' reports.
   *
   * @param records the operators' records
   * @param reports the last reports
   * @param nowMillis wall clock time in ms since the Unix epoch
   * @param windowMillis time in ms for which a higher requirement is retained after it has fallen
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
      final Double slots = reported.get(service.name());
      if (slots != null) {
        demand.merge(service.name(), slots, (old, value) -> smooth(old, value, stepMillis));
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
            .update(requiredVms(spec, pool.getValue()), nowMillis, windowMillis);
      }
    }
    peakForecast.update(poolDemands);
  }

  private static Map<String, Double> reported(final List<ReceivedReport> reports) {
    final Map<String, Double> result = new HashMap<>();
    for (final ReceivedReport received : reports) {
      if (received.isRecent()) {
        for (final Map.Entry<String, ServiceLoad> load : received.report().loads().entrySet()) {
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

  private static int requiredVms(final PoolSpec pool, final double slots) {
    final int wanted = (int) Math.ceil(slots / (SLOTS_PER_VM * PLANNED_UTILISATION));
    final int minimum = Math.max(wanted, pool.minimumVms());
    return pool.maximumVms() > 0 ? Math.min(minimum, pool.maximumVms()) : minimum;
  }

  /**
   * Returns the demand of the pools that have services.
   *
   * @return the demand by pool, in order of name
   */
  Map<String, PoolDemand> poolDemands() {
    return poolDemands;
  }

  /**
   * Returns the forecast of demand peaks.
   *
   * @return the forecast
   */
  PeakForecast peakForecast() {
    return peakForecast;
  }
}
