/**
 * Data model of jobs, their steps and tasks, and of the queues, services, machines and workers that
 * run them.
 */
package org.lentilsail.model.job;
