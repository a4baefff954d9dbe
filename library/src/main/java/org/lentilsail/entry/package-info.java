/**
 * Server for callers: takes requests, sends them to workers, and states each outcome truthfully.
 */
package org.lentilsail.entry;
