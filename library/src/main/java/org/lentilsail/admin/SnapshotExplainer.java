package org.lentilsail.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import org.lentilsail.config.ConfigurationSnapshot;
import org.lentilsail.config.ConfigurationView;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.fleet.VmEntry;
import org.lentilsail.model.fleet.VmPhase;
import org.lentilsail.model.record.BudgetSpec;
import org.lentilsail.model.record.HoldSpec;
import org.lentilsail.model.record.ServiceSpec;

/**
 * Explains decisions from the configuration snapshot alone; does not see the daemon reports that
 * the fleet control leader receives.
 */
public final class SnapshotExplainer implements Explainer {
  /** Number of unavailable VMs that a service without a budget record tolerates. */
  private static final int DEFAULT_ALLOWED = 1;

  private final ConfigurationView configuration;

  /**
   * Creates an explainer.
   *
   * @param configuration current configuration
   */
  public SnapshotExplainer(final ConfigurationView configuration) {
    this.configuration = configuration;
  }

  @Override
  public JsonNode vm(final String vm) {
    final ConfigurationSnapshot snapshot = configuration.current();
    final VmEntry entry = snapshot.fleet().vms().get(vm);
    if (entry == null) {
      throw new LentilsailException(
          ErrorCode.NOT_FOUND,
          "VM " + vm + " is not in the fleet of this region",
          "check the name, or ask a daemon of the region of the VM");
    }
    final ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put("vm", vm);
    json.put("pool", entry.pool());
    json.put("availabilityZone", entry.availabilityZone());
    json.put("phase", text(entry.phase()));
    json.put("purpose", text(entry.purpose()));
    json.put("sinceMillis", entry.sinceMillis());
    final ArrayNode because = json.putArray("because");
    because.add(reason(entry));
    snapshot.records().holds().values().stream()
        .filter(hold -> hold.vm().equals(vm))
        .sorted(Comparator.comparing(HoldSpec::name))
        .forEach(hold -> because.add(text(hold)));
    addBudgets(json, because, snapshot, entry.pool());
    return json;
  }

  @Override
  public JsonNode wave(final String wave) {
    final ConfigurationSnapshot snapshot = configuration.current();
    final WaveReport report = new WaveReport(snapshot, wave);
    final ObjectNode json = report.json();
    final ArrayNode because = json.putArray("because");
    switch (report.state()) {
      case "finished" -> because.add("Every VM of this run has been handled.");
      case "paused" -> because.add("The wave is paused in its record; resume it to continue.");
      case "not-started" -> because.add("Fleet control has not started this run yet.");
      case "halted" ->
          because.add(
              report.failures()
                  + " VMs failed and the record halts after "
                  + report.spec().haltAfterFailures()
                  + ("OPERATOR".equals(report.spec().resume().name())
                      ? "; resume the wave to continue."
                      : "; it resumes after 60 s without failures."));
      default ->
          because.add(
              report.active().size()
                  + " VMs are out of service for the wave, of at most "
                  + report.spec().maxParallel()
                  + "; "
                  + report.waiting().size()
                  + " not started.");
    }
    report.spec().pools().forEach(pool -> addBudgets(json, because, snapshot, pool));
    return json;
  }

  private static void addBudgets(
      final ObjectNode json,
      final ArrayNode because,
      final ConfigurationSnapshot snapshot,
      final String pool) {
    final List<VmEntry> vms =
        snapshot.fleet().vms().values().stream().filter(vm -> vm.pool().equals(pool)).toList();
    final long unavailable = vms.stream().filter(vm -> vm.phase() != VmPhase.IN_SERVICE).count();
    final ArrayNode budgets = json.withArray("budgets");
    snapshot.records().servicesOn(pool).stream()
        .sorted(Comparator.comparing(ServiceSpec::name))
        .forEach(
            service -> {
              final int allowed = allowed(snapshot, service.name(), vms.size());
              final ObjectNode budget = budgets.addObject();
              budget.put("service", service.name());
              budget.put("pool", pool);
              budget.put("vms", vms.size());
              budget.put("unavailable", unavailable);
              budget.put("allowed", allowed);
              if (unavailable >= allowed) {
                because.add(
                    "The budget of service "
                        + service.name()
                        + " is spent: "
                        + unavailable
                        + " of "
                        + allowed
                        + " VMs that may be unavailable in pool "
                        + pool
                        + ".");
              }
            });
  }

  private static int allowed(
      final ConfigurationSnapshot snapshot, final String service, final int poolSize) {
    return snapshot.records().budgetsOf(service).stream()
        .mapToInt((BudgetSpec budget) -> budget.allowed(poolSize))
        .min()
        .orElse(DEFAULT_ALLOWED);
  }

  private static String reason(final VmEntry entry) {
    return switch (entry.purpose()) {
      case NONE -> "No operation on the VM is under way.";
      case MAINTENANCE -> "Wave " + entry.wave() + " maintains the VM.";
      case MOVE -> "The VM moves to pool " + entry.targetPool() + ".";
      case OPERATOR -> "An operator drained the VM.";
      case LEAVING -> "The platform is removing the VM.";
    };
  }

  private static String text(final HoldSpec hold) {
    return "Hold "
        + hold.name()
        + (hold.force() ? " takes the VM out of service at once" : " waits for the budget")
        + (hold.reason().isEmpty() ? "." : ": " + hold.reason());
  }

  private static String text(final Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
