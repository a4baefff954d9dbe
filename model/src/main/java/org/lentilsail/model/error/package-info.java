/**
 * Typed errors: every failure that a caller, an operator or a log reader sees has an error code.
 */
package org.lentilsail.model.error;
