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
 * Polls the fleet documents of all daemons and the status of all backend servers, and records every
 * breach of an availability budget of 1 VM per pool. A backend server counts as out of service when
 * two consecutive polls find it so: two VMs that are out in both polls were out at the same time,
 * however long a poll takes.
 */
final class BudgetMonitor {
  private static final int MAX_UNAVAILABLE_PER_POOL = 1;

  private final FleetFixture fixture;
  private final Map<String, String> pools;
  private final Set<String> breaches = new ConcurrentSkipListSet<>();
  private final Thread thread = new Thread(this::poll, "fleet-watch");
  private Set<String> previouslyOut = Set.of();
  private volatile int polls;
  private volatile boolean running = true;

  BudgetMonitor(final FleetFixture fixture) {
    this.fixture = fixture;
    pools = fixture.fleet.plan().vms().stream().collect(Collectors.toMap(VmPlan::vm, VmPlan::pool));
    thread.setDaemon(true);
    thread.start();
  }

  /** Stops polling and fails when a breach was recorded. */
  void check() throws InterruptedException {
    running = false;
    thread.join();
    assertThat(breaches, is(empty()));
    assertThat("looks", polls, greaterThan(10));
  }

  private void poll() {
    while (running) {
      for (final EntryPlan entry : fixture.fleet.plan().entries()) {
        pollDaemon(entry.id());
      }
      pollBackends();
      polls++;
    }
  }

  private void pollDaemon(final String daemon) {
    if (!fixture.fleet.entry(daemon).isAlive()) {
      return;
    }
    try {
      final JsonNode vms = fixture.admin(daemon, "GET", "/v1/fleet", "").findPath("vms");
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
    } catch (final IOException | RuntimeException unavailable) {
      // The daemon is killed, frozen or starting.
    }
  }

  private void pollBackends() {
    final Set<String> out = new HashSet<>();
    for (final String vm : pools.keySet()) {
      try {
        if (fixture.backend(vm, "GET", "status", "").path("draining").asBoolean()) {
          out.add(vm);
        }
      } catch (final IOException | RuntimeException unavailable) {
        out.add(vm);
      }
    }
    final Set<String> outInBothPolls = new HashSet<>(out);
    outInBothPolls.retainAll(previouslyOut);
    checkBudget("backends", outInBothPolls);
    previouslyOut = out;
  }

  private void checkBudget(final String source, final Set<String> out) {
    out.stream().collect(Collectors.groupingBy(pools::get)).values().stream()
        .filter(vms -> vms.size() > MAX_UNAVAILABLE_PER_POOL)
        .forEach(vms -> breaches.add(source + ": out of service at the same time: " + vms));
  }
}
