package org.lentilsail.policy.control;

import java.util.List;
import org.lentilsail.model.fleet.FleetDocument;

/**
 * Result of a control round.
 *
 * @param document the new fleet document, equal to the old one when nothing has changed
 * @param actions actions to execute once the document has been written
 */
public record RoundResult(FleetDocument document, List<ControlAction> actions) {}
