package org.lentilsail.config;

import org.lentilsail.peer.PeerStatus;

/**
 * Provides the status that heartbeats send to the peers: the revision of the configuration and
 * whether the platform answers.
 */
public final class PlatformHealth implements PeerStatus {
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
