/** Measures the waiting time of short work around the real dispatch decisions. */
package org.lentilsail.measure.waiting;
