/** Drain notices: VMs that get no new work although the fleet document has them in service. */
package org.lentilsail.drain;
