/** View of the fleet in one control round, and tracking of the availability budgets. */
package org.lentilsail.policy.fleet;
