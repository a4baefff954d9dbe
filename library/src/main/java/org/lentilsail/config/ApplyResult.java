package org.lentilsail.config;

/** Result of applying a batch of changes. */
public enum ApplyResult {
  /** The batch was applied and the revision of the store has increased. */
  APPLIED,
  /** The store already has this revision or a later one; nothing was applied. */
  STALE,
  /** Changes between the store and the batch are missing; nothing was applied. */
  GAP,
  /** The base value of a delta is missing in the store; nothing was applied. */
  BASE_MISSING
}
