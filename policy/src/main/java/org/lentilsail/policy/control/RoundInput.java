package org.lentilsail.policy.control;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lentilsail.model.fleet.FleetDocument;
import org.lentilsail.model.record.Records;
import org.lentilsail.policy.capacity.PolicyWeights;
import org.lentilsail.policy.fleet.ReceivedReport;
import org.lentilsail.policy.fleet.VmObservation;

/**
 * Inputs of a control round, apart from the {@link ControllerState}.
 *
 * @param records the operators' records
 * @param document the fleet document
 * @param revision revision of the fleet document
 * @param vms the platform's list, empty when it is unavailable
 * @param reports the daemons' last reports
 * @param probed number of probes that each VM has answered since it began to verify
 * @param nowMillis wall clock time in ms since the Unix epoch
 * @param weights weights of the metrics
 */
public record RoundInput(
    Records records,
    FleetDocument document,
    long revision,
    Optional<List<VmObservation>> vms,
    List<ReceivedReport> reports,
    Map<String, Integer> probed,
    long nowMillis,
    PolicyWeights weights) {}
