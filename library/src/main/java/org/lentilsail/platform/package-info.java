/** Access to the platform: key-value service, leases, watches and the list of VMs. */
package org.lentilsail.platform;
