package org.lentilsail.admin;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.lentilsail.acceptance.OperatorCommands;
import org.lentilsail.acceptance.RecordService;
import org.lentilsail.config.ConfigurationView;

/**
 * Gives the parts of a daemon that the operators' interface shows.
 *
 * @param records reads and writes records
 * @param commands commands on waves and VMs
 * @param configuration present configuration
 * @param explainer explains decisions of control
 * @param metrics metrics of the daemon
 * @param readiness conditions for taking traffic
 * @param platformConnected whether the platform answers; reported, but not a condition
 * @param states parts with a share in the state dump
 */
public record AdminComponents(
    RecordService records,
    OperatorCommands commands,
    ConfigurationView configuration,
    Explainer explainer,
    PrometheusRegistry metrics,
    List<ReadinessCheck> readiness,
    BooleanSupplier platformConnected,
    List<StateSource> states) {

  /** Copies the lists, so that the parts cannot change. */
  public AdminComponents {
    readiness = List.copyOf(readiness);
    states = List.copyOf(states);
  }
}
