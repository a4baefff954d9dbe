/** Assessment of workers from the outcomes of real requests. */
package org.lentilsail.policy.health;
