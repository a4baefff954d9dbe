/** Worker slots: requests them from the dispatcher of a service and runs local dispatchers. */
package org.lentilsail.dispatch;
