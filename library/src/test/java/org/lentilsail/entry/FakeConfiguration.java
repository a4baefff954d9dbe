package org.lentilsail.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.lentilsail.config.ConfigurationSnapshot;
import org.lentilsail.config.ConfigurationView;
import org.lentilsail.model.fleet.FleetDocument;
import org.lentilsail.model.fleet.VmEntry;
import org.lentilsail.model.fleet.VmPhase;
import org.lentilsail.model.record.Records;
import org.lentilsail.model.record.ServiceSpec;

/** Configuration of one service {@code tee} on the pool {@code green}. */
public final class FakeConfiguration implements ConfigurationView {
  private final List<Consumer<ConfigurationSnapshot>> listeners = new ArrayList<>();
  private final Map<String, VmEntry> vms = new HashMap<>();
  private volatile ConfigurationSnapshot snapshot = ConfigurationSnapshot.empty();

  /** Adds or replaces a VM. */
  public FakeConfiguration with(final String vm, final String address, final VmPhase phase) {
    vms.put(vm, VmEntry.inService(vm, address, "z", "r", "green", 1, 0).withPhase(phase, 1));
    final ServiceSpec service = new ServiceSpec("tee", "green", "/", 20_000, 200, 4, Map.of());
    snapshot =
        new ConfigurationSnapshot(
            snapshot.revision() + 1,
            new Records(Map.of(), Map.of("tee", service), Map.of(), Map.of(), Map.of()),
            new FleetDocument(1, "h", vms, Map.of()),
            snapshot.revision() + 1,
            Map.of());
    listeners.forEach(listener -> listener.accept(snapshot));
    return this;
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
