/**
 * Simulation of queueing delay of short jobs under the product's dispatch decisions and baselines.
 */
package org.lentilsail.measure.waiting;
