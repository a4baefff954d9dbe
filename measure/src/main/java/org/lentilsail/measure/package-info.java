/** Measurements of decision algorithms in simulations and of components over real sockets. */
package org.lentilsail.measure;
