/** What control knows about the VMs in one round, and the accounting of availability budgets. */
package org.lentilsail.policy.fleet;
