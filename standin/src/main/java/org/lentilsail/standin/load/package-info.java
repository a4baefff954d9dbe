/** Load tool that checks every outcome against the journals of the backend servers. */
package org.lentilsail.standin.load;
