/** Retry budgets and retry delays. */
package org.lentilsail.policy.retry;
