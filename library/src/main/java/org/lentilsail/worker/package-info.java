/** Clients for commands to workers and machines, and for the advice service. */
package org.lentilsail.worker;
