package org.lentilsail.admin;

import java.util.Optional;

/** One condition that must hold before the daemon takes traffic. */
public interface ReadinessCheck {
  /** Returns the name under which the condition is reported. */
  String checkName();

  /** Returns why the condition does not hold, empty when it holds; callable from every thread. */
  Optional<String> failure();
}
