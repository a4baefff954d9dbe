/**
 * Asynchronous HTTP client on Undertow that reports whether a failed request may have been sent.
 */
package org.lentilsail.http;
