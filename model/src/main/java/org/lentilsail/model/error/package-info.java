/** Typed errors: every failure that a caller, an operator or a log reader sees carries a code. */
package org.lentilsail.model.error;
