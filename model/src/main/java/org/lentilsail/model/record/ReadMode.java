package org.lentilsail.model.record;

/** Tells where a spec comes from, which decides what counts as a fault. */
enum ReadMode {
  /** A client creates the record; unknown fields are faults. */
  CREATE,
  /** A client amends the record; what its version cannot express may be left out. */
  UPDATE,
  /** The spec is stored; unknown fields come from newer programs and are ignored. */
  STORED
}
