/** Health of workers, derived from the outcomes of real requests. */
package org.lentilsail.policy.health;
