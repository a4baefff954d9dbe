/**
 * Identification of callers by the keys of their organisations, and the age up to which a
 * configuration may be used for it.
 */
package org.lentilsail.policy.access;
