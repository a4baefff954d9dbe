/** Jobs, their steps and tasks, and the queues and services that run them. */
package org.lentilsail.model.job;
