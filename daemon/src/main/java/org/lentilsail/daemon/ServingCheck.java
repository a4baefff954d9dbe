package org.lentilsail.daemon;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.lentilsail.admin.ReadinessCheck;

/** Requires that the daemon is not stopping. */
final class ServingCheck implements ReadinessCheck {
  /** Whether the daemon accepts requests. */
  private final BooleanSupplier serving;

  ServingCheck(final BooleanSupplier serving) {
    this.serving = serving;
  }

  @Override
  public String checkName() {
    return "serving";
  }

  @Override
  public Optional<String> failure() {
    return serving.getAsBoolean() ? Optional.empty() : Optional.of("the daemon is stopping");
  }
}
