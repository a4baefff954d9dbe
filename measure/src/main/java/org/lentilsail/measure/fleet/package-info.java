/** Simulation of pools, VMs and demand on a manual clock, around the product's control round. */
package org.lentilsail.measure.fleet;
