package org.lentilsail.policy.control;

import java.util.List;
import java.util.Map;
import org.lentilsail.model.fleet.FleetDocument;
import org.lentilsail.model.fleet.WaveProgress;
import org.lentilsail.policy.capacity.MovePolicy;
import org.lentilsail.policy.capacity.MoveRules;
import org.lentilsail.policy.fleet.FleetView;
import org.lentilsail.policy.wave.WaveRules;

/** Turns the inputs of one control round into a new fleet document and actions. */
public final class ControlRound {
  private ControlRound() {}

  /**
   * Runs one round. The order gives unplanned events precedence over operators, operators over
   * moves, and moves over waves, since all of them spend the same budgets.
   *
   * @param input the inputs
   * @param memory what the holder remembers; a new holder passes a new one
   * @return the new document and the actions to carry out after it has been written
   */
  public static RoundResult run(final RoundInput input, final ControllerState memory) {
    return run(
        input,
        memory,
        (view, reports) -> new MoveRules(view, memory.demand(), input.weights()).apply(reports));
  }

  /**
   * Runs one round with another way to decide on moves; measurements compare such ways.
   *
   * @param input the inputs
   * @param memory what the holder remembers; a new holder passes a new one
   * @param moves decides on moves between pools
   * @return the new document and the actions to carry out after it has been written
   */
  public static RoundResult run(
      final RoundInput input, final ControllerState memory, final MovePolicy moves) {
    final FleetDocument old = input.document();
    memory.observe(old, input.revision(), input.nowMillis());
    final FleetView view =
        new FleetView(input.records(), old, input.vms(), input.reports(), input.nowMillis());
    final HoldRules holds = new HoldRules(view);
    holds.applyUnbudgeted();
    new PhaseRules(view, input, memory).apply();
    final WaveRules waves = new WaveRules(view, old);
    waves.recordResults();
    view.initializeBudgets();
    holds.startDrains();
    moves.apply(view, input.reports());
    final Map<String, WaveProgress> progress = waves.apply();
    final FleetDocument document =
        new FleetDocument(old.epoch(), old.holder(), view.vms(), progress);
    final List<ControlAction> actions = new ActionRules(view, memory).apply();
    return new RoundResult(document, actions);
  }
}
