/** The holder of control: lease, rounds, writes of the fleet document and actions on VMs. */
package org.lentilsail.control;
