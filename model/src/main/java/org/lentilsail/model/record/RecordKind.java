package org.lentilsail.model.record;

import java.util.Locale;

/** Kinds of records, with their newest schema versions. */
public enum RecordKind {
  /** A pool of VMs. */
  POOL(2),
  /** A service that is placed on a pool. */
  SERVICE(2),
  /** The availability budget of a service. */
  BUDGET(2),
  /** A maintenance wave over pools. */
  WAVE(2),
  /** An operator's request to keep a VM out of service. */
  HOLD(1);

  /** Newest schema version of this kind; the oldest is 1. */
  private final int newestVersion;

  RecordKind(final int newestVersion) {
    this.newestVersion = newestVersion;
  }

  /**
   * Returns the newest schema version.
   *
   * @return the version
   */
  public int newestVersion() {
    return newestVersion;
  }

  /**
   * Returns the name of the kind in records, paths and keys.
   *
   * @return the name in lower case
   */
  public String text() {
    return name().toLowerCase(Locale.ROOT);
  }
}
