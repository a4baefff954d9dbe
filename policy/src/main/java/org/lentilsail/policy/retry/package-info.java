/** Limits of retries: how many there may be and how long each one waits. */
package org.lentilsail.policy.retry;
