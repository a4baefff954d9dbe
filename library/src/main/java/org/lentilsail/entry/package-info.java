/**
 * HTTP server for callers: accepts requests, sends them to workers and reports each outcome
 * truthfully.
 */
package org.lentilsail.entry;
