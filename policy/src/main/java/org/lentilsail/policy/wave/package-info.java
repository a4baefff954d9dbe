/** Progress of maintenance waves: start, halt, resumption, and the choice of the next VMs. */
package org.lentilsail.policy.wave;
