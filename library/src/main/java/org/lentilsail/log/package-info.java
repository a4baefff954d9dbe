/** Structured decision log with bounded volume that never blocks the caller. */
package org.lentilsail.log;
