package org.lentilsail.platform;

import java.util.Optional;

/**
 * Result of a conditional write.
 *
 * @param written whether the write took effect
 * @param revision revision of the write if it took effect, otherwise the current revision, 0 for a
 *     key that does not exist
 * @param current the current value after a conflict
 */
public record WriteResult(boolean written, long revision, Optional<VersionedValue> current) {}
