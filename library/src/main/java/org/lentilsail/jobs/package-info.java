/**
 * Schedules jobs. Every daemon accepts jobs, reports their state and cancels them through the
 * store; one daemon, the leader, sends commands to workers and machines.
 */
package org.lentilsail.jobs;
