/** Configuration: acceptance of records, distribution to all daemons, and the present snapshot. */
package org.lentilsail.config;
