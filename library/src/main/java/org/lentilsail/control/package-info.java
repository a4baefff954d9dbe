/** Fleet control: leader election, control rounds, fleet document writes and actions on VMs. */
package org.lentilsail.control;
