/** Processes and links of local deployments, and the faults that tests inject into them. */
package org.lentilsail.standin.process;
