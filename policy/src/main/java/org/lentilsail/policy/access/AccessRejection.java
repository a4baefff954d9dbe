package org.lentilsail.policy.access;

/** Reason why a call is rejected before its body is looked at. */
public enum AccessRejection {
  /** The configuration may be outdated, so that the key may have been removed or added since. */
  CONFIGURATION_TOO_OLD,
  /** The call has no Authorization header. */
  KEY_MISSING,
  /** The call has several Authorization headers, or one that contains no key. */
  KEY_MALFORMED,
  /** No organisation has the key. */
  KEY_UNKNOWN
}
