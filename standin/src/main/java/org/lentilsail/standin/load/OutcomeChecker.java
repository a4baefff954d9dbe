package org.lentilsail.standin.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lentilsail.standin.backend.JournalEntry;

/** Compares the outcomes reported to callers with the runs on the backend servers. Stateless. */
public final class OutcomeChecker {
  /** Lowest status of an error response; error responses do not echo the request. */
  private static final int MIN_ERROR_STATUS = 400;

  private OutcomeChecker() {}

  /**
   * Finds all contradictions between outcomes and runs.
   *
   * @param attempts outcomes reported to callers, in the order of the responses
   * @param journal runs on all backend servers
   * @return one sentence for each contradiction, empty when there is none
   */
  public static List<String> contradictions(
      final List<RequestAttempt> attempts, final List<JournalEntry> journal) {
    final List<String> result = new ArrayList<>();
    final Map<String, Integer> runsByKey = new HashMap<>();
    final Set<String> ranIds = new HashSet<>();
    for (final JournalEntry entry : journal) {
      ranIds.add(entry.id());
      if (!entry.key().isEmpty() && runsByKey.merge(entry.key(), 1, Integer::sum) == 2) {
        result.add("key " + entry.key() + " ran more than once");
      }
    }
    final Map<String, List<RequestAttempt>> attemptsById = new LinkedHashMap<>();
    for (final RequestAttempt attempt : attempts) {
      attemptsById.computeIfAbsent(attempt.id(), id -> new ArrayList<>()).add(attempt);
      if (attempt.outcome().equals("ran")) {
        checkResponse(attempt, ranIds.contains(attempt.id()), result);
      }
    }
    attemptsById.forEach(
        (id, ofRequest) -> {
          if (ranIds.contains(id) && isReportedNotRun(ofRequest)) {
            result.add("request " + id + " was reported as not-run and ran");
          }
        });
    return result;
  }

  /**
   * Returns whether the last outcome of a request is not-run. An attempt without a final outcome
   * may still be executing when a later one is rejected, so the later outcome then proves nothing.
   */
  private static boolean isReportedNotRun(final List<RequestAttempt> attempts) {
    return attempts.get(attempts.size() - 1).outcome().equals("not-run")
        && attempts.stream()
            .map(RequestAttempt::outcome)
            .allMatch(outcome -> outcome.equals("not-run") || outcome.equals("ran"));
  }

  private static void checkResponse(
      final RequestAttempt attempt, final boolean ran, final List<String> faults) {
    if (!ran) {
      faults.add("request " + attempt.id() + " was reported as ran and did not run");
    }
    if (attempt.status() < MIN_ERROR_STATUS && !attempt.intact()) {
      faults.add(
          "request " + attempt.id() + " got an incomplete response or that of another request");
    }
  }
}
