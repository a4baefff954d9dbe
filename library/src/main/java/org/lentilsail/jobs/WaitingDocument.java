package org.lentilsail.jobs;

import java.util.Map;

/**
 * Number of accepted jobs of which no task has started, without jobs that have a schedule.
 *
 * @param jobs number of jobs by queue name
 */
record WaitingDocument(Map<String, Integer> jobs) {

  WaitingDocument {
    jobs = Map.copyOf(jobs);
  }
}
