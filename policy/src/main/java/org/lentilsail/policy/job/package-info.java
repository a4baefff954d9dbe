/**
 * Scheduling of jobs: assignment of tasks to workers, and maintenance and moves of machines between
 * pools. The classes hold the state that these decisions need. They are confined to the control
 * thread, and callers pass in the time.
 */
package org.lentilsail.policy.job;
