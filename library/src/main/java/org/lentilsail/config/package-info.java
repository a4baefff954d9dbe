/** Configuration: distribution of changes to all daemons, and the current snapshot. */
package org.lentilsail.config;
