package org.lentilsail.config;

import java.util.Optional;
import org.lentilsail.platform.KeyChange;

/**
 * A change in the log or on its way into it.
 *
 * @param change the change; in the log its value is left out when there is a difference
 * @param delta the difference to the previous value, empty when the change is only known whole
 */
record LoggedChange(KeyChange change, Optional<Delta> delta) {}
