/** Dispatch of requests to workers: slots, queues with fair shares, and refusals. */
package org.lentilsail.policy.dispatch;
