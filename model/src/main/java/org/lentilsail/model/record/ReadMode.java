package org.lentilsail.model.record;

/** Origin of a spec, which determines what counts as a fault. */
enum ReadMode {
  /** A client creates the record; unknown fields are faults. */
  CREATE,
  /** A client updates the record; fields that its schema version cannot express may be omitted. */
  UPDATE,
  /**
   * The spec comes from the store; unknown fields were written by newer programs and are ignored.
   */
  STORED
}
