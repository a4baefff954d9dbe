/**
 * HTTP server for callers: accepts requests, sends them to workers and reports whether each request
 * ran.
 */
package org.lentilsail.entry;
