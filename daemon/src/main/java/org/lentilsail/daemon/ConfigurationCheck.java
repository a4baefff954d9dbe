package org.lentilsail.daemon;

import java.util.Optional;
import org.lentilsail.admin.ReadinessCheck;
import org.lentilsail.config.ConfigurationView;

/** Requires a first configuration, without which every request is refused. */
final class ConfigurationCheck implements ReadinessCheck {
  /** The configuration. */
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
        : Optional.of("no configuration yet; the platform and the peers did not answer");
  }
}
