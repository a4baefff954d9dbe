/**
 * Stand-ins for the store, the workers and the machines of the users' platform, for tests on a
 * manual clock and for small deployments on one machine.
 */
package org.lentilsail.standin.jobs;
