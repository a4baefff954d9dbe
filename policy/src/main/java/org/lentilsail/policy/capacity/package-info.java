/** Moves of VMs between pools. */
package org.lentilsail.policy.capacity;
