/** State of the fleet, which the leader owns and the platform stores. */
package org.lentilsail.model.fleet;
