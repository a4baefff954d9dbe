package org.lentilsail.config;

import org.lentilsail.peer.PeerStatus;

/**
 * Tells the peers, in heartbeats, how far the configuration reaches and whether the platform
 * answers.
 */
public final class PlatformHealth implements PeerStatus {
  /** The configuration. */
  private final ConfigurationView configuration;

  /** Whether the last call to the platform was answered. */
  private volatile boolean connected;

  /**
   * Creates the status of a daemon that has not called the platform yet.
   *
   * @param configuration the configuration
   */
  public PlatformHealth(final ConfigurationView configuration) {
    this.configuration = configuration;
  }

  @Override
  public long snapshotRevision() {
    return configuration.current().revision();
  }

  @Override
  public boolean platformConnected() {
    return connected;
  }

  void setConnected(final boolean answered) {
    connected = answered;
  }
}
