/**
 * Client interface of the platform's key-value store: items, transactions with preconditions,
 * watches and leases.
 */
package org.lentilsail.store;
