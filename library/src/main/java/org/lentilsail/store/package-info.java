/** The platform's key-value store as the product uses it: items, conditional commits, leases. */
package org.lentilsail.store;
