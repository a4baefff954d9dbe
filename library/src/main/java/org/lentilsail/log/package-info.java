/** Structured log lines for decisions, bounded and without blocking the caller. */
package org.lentilsail.log;
