/** HTTP calls by Undertow's client, with a proof of whether anything was sent. */
package org.lentilsail.http;
