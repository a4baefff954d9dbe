package org.lentilsail.daemon;

import java.util.Optional;
import org.lentilsail.admin.ReadinessCheck;
import org.lentilsail.config.ConfigurationView;

/** Requires that the daemon has received a configuration; without one it rejects every request. */
final class ConfigurationCheck implements ReadinessCheck {
  private final ConfigurationView configuration;

  ConfigurationCheck(final ConfigurationView configuration) {
    this.configuration = configuration;
  }

  @Override
  public String checkName() {
    return "configuration";
  }

  @Override
  public Optional<String> failure() {
    return configuration.current().revision() > 0
        ? Optional.empty()
        : Optional.of("no configuration received yet from the platform or the peers");
  }
}
