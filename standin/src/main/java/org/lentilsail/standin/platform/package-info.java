/** Stand-in for the platform: key-value service, leases, watches, the list of VMs, and faults. */
package org.lentilsail.standin.platform;
