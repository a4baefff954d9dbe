/** Time sources: the system clocks, and a manual time source for tests. */
package org.lentilsail.model.time;
