/** Load tool that checks all outcomes against the journals of the backend servers. */
package org.lentilsail.standin.load;
