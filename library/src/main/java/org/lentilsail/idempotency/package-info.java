/** Runs keyed requests at most once across entry daemons, by terms in key time. */
package org.lentilsail.idempotency;
