package org.lentilsail.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.lentilsail.config.ConfigurationSnapshot;
import org.lentilsail.config.ConfigurationView;
import org.lentilsail.model.fleet.FleetDocument;
import org.lentilsail.model.record.HoldSpec;
import org.lentilsail.model.record.PoolSpec;
import org.lentilsail.model.record.Records;

/** A configuration that tests modify. */
final class FakeConfiguration implements ConfigurationView {
  private final List<Consumer<ConfigurationSnapshot>> listeners = new ArrayList<>();
  private ConfigurationSnapshot snapshot = ConfigurationSnapshot.empty();

  /** Sets the pool {@code a} and a forced hold on each of the VMs. */
  void setHolds(final String... vms) {
    final Map<String, HoldSpec> holds = new java.util.HashMap<>();
    for (final String vm : vms) {
      holds.put(vm, new HoldSpec(vm, vm, true, "test"));
    }
    final Map<String, PoolSpec> pools = Map.of("a", new PoolSpec("a", false, 0, 0, ""));
    set(new Records(pools, Map.of(), Map.of(), Map.of(), holds), snapshot.fleet());
  }

  void set(final Records records, final FleetDocument fleet) {
    snapshot = new ConfigurationSnapshot(1, records, fleet, 1, Map.of());
    listeners.forEach(listener -> listener.accept(snapshot));
  }

  @Override
  public ConfigurationSnapshot current() {
    return snapshot;
  }

  @Override
  public void onChange(final Consumer<ConfigurationSnapshot> listener) {
    listeners.add(listener);
  }
}
