package org.lentilsail.policy.access;

import java.util.Objects;
import java.util.Optional;

/** Whether a call is served, and for whom. */
public final class AccessDecision {
  private final Caller caller;
  private final AccessRejection rejection;

  private AccessDecision(final Caller caller, final AccessRejection rejection) {
    this.caller = Objects.requireNonNull(caller, "caller");
    this.rejection = rejection;
  }

  static AccessDecision served(final Caller caller) {
    return new AccessDecision(caller, null);
  }

  static AccessDecision rejected(final AccessRejection reason) {
    return new AccessDecision(Caller.ANONYMOUS, reason);
  }

  /**
   * Returns who makes the call.
   *
   * @return the caller, anonymous if the call is rejected
   */
  public Caller caller() {
    return caller;
  }

  /**
   * Returns why the call is rejected.
   *
   * @return the reason, empty if the call is served
   */
  public Optional<AccessRejection> rejection() {
    return Optional.ofNullable(rejection);
  }
}
