/** Drain notices: VMs that get no new work although they are in service in the fleet document. */
package org.lentilsail.drain;
