/** Slots on workers: asks the dispatcher of a service, and is one for some services. */
package org.lentilsail.dispatch;
