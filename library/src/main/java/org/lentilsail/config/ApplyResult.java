package org.lentilsail.config;

/** Tells what a batch of changes has done. */
public enum ApplyResult {
  /** The store reaches further than before. */
  APPLIED,
  /** The store reaches as far already. */
  STALE,
  /** Changes between the store and the batch are missing; nothing was applied. */
  GAP,
  /** A difference is to a value that the store does not have; nothing was applied. */
  BASE_MISSING
}
