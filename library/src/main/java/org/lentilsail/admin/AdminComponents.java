package org.lentilsail.admin;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.lentilsail.acceptance.OperatorCommands;
import org.lentilsail.acceptance.RecordService;
import org.lentilsail.config.ConfigurationView;

/**
 * Groups the components of a daemon that the operators' interface serves.
 *
 * @param records reads and writes records
 * @param commands commands on waves and VMs
 * @param configuration current configuration
 * @param explainer explains the decisions of fleet control
 * @param metrics metrics of the daemon
 * @param readiness conditions under which the daemon accepts traffic
 * @param platformConnected whether the platform is reachable; reported by the readiness check, but
 *     not one of its conditions
 * @param states components that contribute to the state dump
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

  /** Creates immutable copies of the lists. */
  public AdminComponents {
    readiness = List.copyOf(readiness);
    states = List.copyOf(states);
  }
}
