package org.lentilsail.policy.control;

import java.util.List;
import java.util.Map;
import org.lentilsail.model.fleet.FleetDocument;
import org.lentilsail.model.fleet.WaveProgress;
import org.lentilsail.policy.capacity.MovePolicy;
import org.lentilsail.policy.capacity.MoveRules;
import org.lentilsail.policy.fleet.FleetView;
import org.lentilsail.policy.wave.WaveRules;

/** Computes a new fleet document and actions from the inputs of one control round. */
public final class ControlRound {
  private ControlRound() {}

  /**
   * Runs one round. The order gives unplanned events precedence over operators, operators over
   * moves, and moves over waves, since all of them share the same availability budgets.
   *
   * @param input the inputs
   * @param controllerState state that the leader keeps between rounds; a new leader passes a new
   *     instance
   * @return the new document and the actions to execute after it has been written
   */
  public static RoundResult run(final RoundInput input, final ControllerState controllerState) {
    return run(
        input,
        controllerState,
        (view, reports) ->
            new MoveRules(view, controllerState.demand(), input.weights()).apply(reports));
  }

  /**
   * Runs one round with a given move policy, so that measurements can compare policies.
   *
   * @param input the inputs
   * @param controllerState state that the leader keeps between rounds; a new leader passes a new
   *     instance
   * @param moves decides on moves between pools
   * @return the new document and the actions to execute after it has been written
   */
  public static RoundResult run(
      final RoundInput input, final ControllerState controllerState, final MovePolicy moves) {
    final FleetDocument old = input.document();
    controllerState.observe(old, input.revision(), input.nowMillis());
    final FleetView view =
        new FleetView(input.records(), old, input.vms(), input.reports(), input.nowMillis());
    final HoldRules holds = new HoldRules(view);
    holds.applyUnbudgeted();
    new PhaseRules(view, input, controllerState).apply();
    final WaveRules waves = new WaveRules(view, old);
    waves.recordResults();
    view.initializeBudgets();
    holds.startDrains();
    moves.apply(view, input.reports());
    final Map<String, WaveProgress> progress = waves.apply();
    final FleetDocument document =
        new FleetDocument(old.epoch(), old.holder(), view.vms(), progress);
    final List<ControlAction> actions = new ActionRules(view, controllerState).apply();
    return new RoundResult(document, actions);
  }
}
