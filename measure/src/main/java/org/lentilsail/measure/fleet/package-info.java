/** A small model of pools, VMs and demand on a paused clock around the real control round. */
package org.lentilsail.measure.fleet;
