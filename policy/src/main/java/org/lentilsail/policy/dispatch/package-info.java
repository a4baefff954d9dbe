/** Which worker to use, when to queue and when to refuse: slots, lanes and fair shares. */
package org.lentilsail.policy.dispatch;
