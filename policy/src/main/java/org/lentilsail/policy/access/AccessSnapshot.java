package org.lentilsail.policy.access;

import java.util.List;
import java.util.Optional;
import org.lentilsail.model.job.JobConfiguration;
import org.lentilsail.model.job.QueueSpec;

/** The configuration that a daemon knows at one moment, with the age of its evidence. Immutable. */
public final class AccessSnapshot {
  /** Age of a configuration of which it is unknown when it was the newest. */
  static final long UNKNOWN_AGE = Long.MAX_VALUE;

  private final JobConfiguration configuration;
  private final KeyIndex keys;
  private final RevocationBounds bounds;
  private final long ageMillis;

  AccessSnapshot(
      final JobConfiguration configuration,
      final KeyIndex keys,
      final RevocationBounds bounds,
      final long ageMillis) {
    this.configuration = configuration;
    this.keys = keys;
    this.bounds = bounds;
    this.ageMillis = ageMillis;
  }

  /**
   * Returns the configuration.
   *
   * @return the configuration
   */
  public JobConfiguration configuration() {
    return configuration;
  }

  /**
   * Decides whether a call is served.
   *
   * @param queue the queue of this configuration that is called
   * @param authorization values of all Authorization headers, with one character for each byte
   * @return the decision
   */
  public AccessDecision decide(final QueueSpec queue, final List<String> authorization) {
    if (configuration.organisations().isEmpty()) {
      return AccessDecision.served(Caller.UNRESTRICTED);
    }
    if (queue.publicAccess()) {
      return AccessDecision.served(Caller.ANONYMOUS);
    }
    if (bounds.strict() && ageMillis > bounds.maxAgeMillis()) {
      return AccessDecision.rejected(AccessRejection.CONFIGURATION_TOO_OLD);
    }
    if (authorization.isEmpty()) {
      return AccessDecision.rejected(AccessRejection.KEY_MISSING);
    }
    return authorization.size() > 1
        ? AccessDecision.rejected(AccessRejection.KEY_MALFORMED)
        : BearerKey.read(authorization.get(0))
            .map(this::decideByKey)
            .orElseGet(() -> AccessDecision.rejected(AccessRejection.KEY_MALFORMED));
  }

  private AccessDecision decideByKey(final byte[] key) {
    final Optional<String> organisation = keys.organisation(key);
    if (organisation.isPresent()) {
      return AccessDecision.served(Caller.of(organisation.get()));
    }
    return AccessDecision.rejected(
        ageMillis > bounds.maxUnknownKeyAgeMillis()
            ? AccessRejection.CONFIGURATION_TOO_OLD
            : AccessRejection.KEY_UNKNOWN);
  }
}
