/**
 * Runs jobs: every daemon accepts, reports and cancels them through the store; one daemon, the
 * holder, gives orders to workers and machines.
 */
package org.lentilsail.jobs;
