package org.lentilsail.worker;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Client of the advice service, which decides by the policy of a queue which workers may run a
 * step. Thread-safe.
 */
public interface AdviceClient {
  /**
   * Requests permits for workers. The response takes longer the more workers are named.
   *
   * @param step name of the step: job, occurrence and number, separated by dots
   * @param workers ids of the workers, at most 100
   * @return the response; fails if there is none
   */
  CompletableFuture<Advice> ask(String step, List<String> workers);
}
