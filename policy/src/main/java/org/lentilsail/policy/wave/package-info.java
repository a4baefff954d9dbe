/** Order and pace of maintenance waves within the availability budgets. */
package org.lentilsail.policy.wave;
