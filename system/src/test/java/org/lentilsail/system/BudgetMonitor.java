package org.lentilsail.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.stream.Collectors;

/**
 * Watches fleet documents and backend servers and notes every breach of a budget of 1 VM per pool.
 * A backend counts as out when two looks in a row find it so; two VMs that are out in the same two
 * looks were out at the same time, however long a look takes.
 */
final class BudgetMonitor {
  private static final int BUDGET = 1;

  private final FleetFixture guarded;
  private final Map<String, String> pools;
  private final Set<String> breaches = new ConcurrentSkipListSet<>();
  private final Thread thread = new Thread(this::watch, "fleet-watch");
  private Set<String> outBefore = Set.of();
  private volatile int looks;
  private volatile boolean running = true;

  BudgetMonitor(final FleetFixture guarded) {
    this.guarded = guarded;
    pools = guarded.fleet.plan().vms().stream().collect(Collectors.toMap(VmPlan::vm, VmPlan::pool));
    thread.setDaemon(true);
    thread.start();
  }

  /** Ends the watch and fails when it has seen a breach. */
  void check() throws InterruptedException {
    running = false;
    thread.join();
    assertThat(breaches, is(empty()));
    assertThat("looks", looks, greaterThan(10));
  }

  private void watch() {
    while (running) {
      for (final EntryPlan entry : guarded.fleet.plan().entries()) {
        lookAt(entry.id());
      }
      lookAtBackends();
      looks++;
    }
  }

  private void lookAt(final String daemon) {
    if (!guarded.fleet.entry(daemon).isAlive()) {
      return;
    }
    try {
      final JsonNode vms = guarded.admin(daemon, "GET", "/v1/fleet", "").findPath("vms");
      final Set<String> out = new HashSet<>();
      for (final Map.Entry<String, JsonNode> vm : vms.properties()) {
        if (!vm.getValue().path("pool").asText().equals(pools.get(vm.getKey()))) {
          breaches.add(vm.getKey() + " is in another pool: " + vm.getValue());
        }
        if (vm.getValue().has("phase")) {
          out.add(vm.getKey());
        }
      }
      if (!vms.isEmpty() && vms.size() != pools.size()) {
        breaches.add("the document of " + daemon + " has " + vms.size() + " VMs");
      }
      checkBudget("document", out);
    } catch (final IOException | RuntimeException silent) {
      // The daemon is ended, frozen or starting.
    }
  }

  private void lookAtBackends() {
    final Set<String> out = new HashSet<>();
    for (final String vm : pools.keySet()) {
      try {
        if (guarded.backend(vm, "GET", "status", "").path("draining").asBoolean()) {
          out.add(vm);
        }
      } catch (final IOException | RuntimeException silent) {
        out.add(vm);
      }
    }
    final Set<String> twice = new HashSet<>(out);
    twice.retainAll(outBefore);
    checkBudget("backends", twice);
    outBefore = out;
  }

  private void checkBudget(final String source, final Set<String> out) {
    out.stream().collect(Collectors.groupingBy(pools::get)).values().stream()
        .filter(vms -> vms.size() > BUDGET)
        .forEach(vms -> breaches.add(source + ": out at once: " + vms));
  }
}
