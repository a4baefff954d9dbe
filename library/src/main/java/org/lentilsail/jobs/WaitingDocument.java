package org.lentilsail.jobs;

import java.util.Map;

/**
 * Numbers of accepted jobs without due times of which no task has started.
 *
 * @param jobs number by name of the queue
 */
record WaitingDocument(Map<String, Integer> jobs) {

  WaitingDocument {
    jobs = Map.copyOf(jobs);
  }
}
