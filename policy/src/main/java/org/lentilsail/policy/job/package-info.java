/**
 * Decisions about jobs: which task runs on which worker, which machine is maintained or moved. The
 * classes hold the state that decisions need; one thread owns them, time is passed in.
 */
package org.lentilsail.policy.job;
