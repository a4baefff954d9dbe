/** Stand-ins for external systems, and the load tool; not part of the product. */
package org.lentilsail.standin;
