package org.lentilsail.admin;

import java.util.Optional;

/** A condition that must hold before the daemon accepts traffic. */
public interface ReadinessCheck {
  /** Returns the name under which the condition is reported. */
  String checkName();

  /** Returns why the condition does not hold, or empty when it holds; thread-safe. */
  Optional<String> failure();
}
