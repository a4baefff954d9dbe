package org.lentilsail.policy.scenario;

import java.util.List;
import java.util.Map;
import org.lentilsail.model.record.BudgetSpec;
import org.lentilsail.model.record.HoldSpec;
import org.lentilsail.model.record.PoolSpec;
import org.lentilsail.model.record.ResumeMode;
import org.lentilsail.model.record.ServiceSpec;
import org.lentilsail.model.record.WaveSpec;
import org.lentilsail.policy.fleet.VmState;

/**
 * Executes the events of scenarios. In their text the leader is called holder, a daemon that does
 * not report is silent until it is heard, and a VM that sticks does not come back from a reboot.
 */
final class ScenarioEvents {
  private final FleetSimulation simulation;

  ScenarioEvents(final FleetSimulation simulation) {
    this.simulation = simulation;
  }

  void apply(final ScenarioLine line) {
    final String name = line.words().size() > 1 ? line.word(1) : "";
    switch (line.word(0)) {
      case "pool" ->
          simulation.pools.put(
              name,
              new PoolSpec(
                  name,
                  line.words().contains("spare"),
                  line.number(line.after("minimum", "0")),
                  line.number(line.after("maximum", "0")),
                  ""));
      case "service" ->
          simulation.services.put(
              name, new ServiceSpec(name, line.after("on", ""), "/", 30_000, 200, 256, Map.of()));
      case "budget" ->
          simulation.budgets.put(
              name, new BudgetSpec(name, name, line.number(line.word(2)), -1, 0));
      case "vms" -> vms(line);
      case "vm" -> vm(line, existing(line, name));
      case "daemon", "zone" -> daemon(line, name);
      case "wave" -> wave(line, name);
      case "hold" ->
          simulation.holds.put(
              name, new HoldSpec(name, name, line.words().contains("force"), "scenario"));
      case "release" -> simulation.holds.remove(name);
      case "demand" -> simulation.demand.put(name, line.number(line.word(2)));
      case "lag" -> simulation.lagMillis = line.millis(name);
      case "requests" -> simulation.requests = name.equals("flow");
      case "holder" -> crashLeader(line);
      case "actions" -> simulation.duplicate = true;
      case "never" -> simulation.limits.put(line.word(6), line.number(line.word(3)));
      default -> throw line.error("unknown event '" + line.word(0) + "'");
    }
  }

  private FakeVm existing(final ScenarioLine line, final String name) {
    final FakeVm result = simulation.vms.get(name);
    if (result == null) {
      throw line.error("VM '" + name + "' does not exist");
    }
    return result;
  }

  private void vms(final ScenarioLine line) {
    for (final String name : line.word(1).split(",")) {
      simulation.vms.put(
          name,
          new FakeVm(
              name, line.after("in", ""), line.after("zone", "z1"), line.after("rack", "r")));
    }
  }

  private void vm(final ScenarioLine line, final FakeVm vm) {
    switch (line.words().get(2)) {
      case "stops" -> vm.answers = false;
      case "answers" -> vm.answers = true;
      case "gone" -> vm.state = VmState.GONE;
      case "leaving" -> vm.state = VmState.LEAVING;
      case "live" -> vm.state = VmState.LIVE;
      case "works" -> vm.workUntil = simulation.now() + line.millis(line.after("for", "1s"));
      case "checkpoints" -> vm.checkpoints = true;
      case "sticks" -> vm.returns = false;
      default -> throw line.error("unknown state of a VM '" + line.word(2) + "'");
    }
  }

  private void daemon(final ScenarioLine line, final String name) {
    if (line.word(0).equals("daemon") && line.word(2).equals("in")) {
      simulation.daemons.put(name, line.word(3));
    } else {
      for (final Map.Entry<String, String> daemon : simulation.daemons.entrySet()) {
        if (daemon.getKey().equals(name) || daemon.getValue().equals(name)) {
          if (line.word(2).equals("heard")) {
            simulation.silentDaemons.remove(daemon.getKey());
          } else {
            simulation.silentDaemons.add(daemon.getKey());
          }
        }
      }
    }
  }

  private void wave(final ScenarioLine line, final String name) {
    simulation.waves.put(
        name,
        new WaveSpec(
            name,
            List.of(line.after("pools", "").split(",")),
            line.number(line.after("parallel", "1")),
            line.number(line.after("run", "1")),
            line.number(line.after("halt", "2")),
            line.words().contains("automatic") ? ResumeMode.AUTOMATIC : ResumeMode.OPERATOR,
            line.words().contains("paused"),
            line.number(line.after("drain", "300")),
            line.number(line.after("return", "30")),
            line.number(line.after("days", "0")),
            line.number(line.after("resumes", "0"))));
  }

  private void crashLeader(final ScenarioLine line) {
    if (line.text().endsWith("after every write")) {
      simulation.crashAfterEveryWrite = true;
    } else if (line.text().endsWith("after the write")) {
      simulation.crashAfterWrite = true;
    } else {
      simulation.crash();
    }
  }
}
