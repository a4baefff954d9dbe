/**
 * Scheduling and control decisions without I/O and threads; times and random generators are passed
 * in.
 */
package org.lentilsail.policy;
