/** At-most-once execution of keyed requests, based on ownership terms of key ranges. */
package org.lentilsail.idempotency;
