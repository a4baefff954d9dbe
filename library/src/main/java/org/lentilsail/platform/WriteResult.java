package org.lentilsail.platform;

import java.util.Optional;

/**
 * Outcome of a conditional write.
 *
 * @param written whether the write took effect
 * @param revision revision of the write if it took effect, otherwise the present revision, 0 for a
 *     key that does not exist
 * @param current the present value after a conflict
 */
public record WriteResult(boolean written, long revision, Optional<VersionedValue> current) {}
