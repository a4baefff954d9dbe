package org.lentilsail.config;

import java.util.Optional;
import org.lentilsail.platform.KeyChange;

/**
 * Entry of the change log.
 *
 * @param change the change; in the log, its value is omitted when there is a delta
 * @param delta the delta from the previous value, empty when only the full value is known
 */
record LoggedChange(KeyChange change, Optional<Delta> delta) {}
