package org.lentilsail.worker;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Asks the advice service which workers the policy of a queue lets run a step. Thread-safe. */
public interface AdviceClient {
  /**
   * Asks about workers. The answer takes longer the more workers are named.
   *
   * @param step name of the step: job, occurrence and number, separated by points
   * @param workers ids of the workers, at most 100
   * @return the answer; fails when there is none
   */
  CompletableFuture<Advice> ask(String step, List<String> workers);
}
