package org.lentilsail.standin.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lentilsail.standin.backend.JournalEntry;

/** Compares what callers were told with what the backend servers ran; pure. */
public final class Judge {
  /** Lowest status of a response that does not echo the request. */
  private static final int FIRST_ERROR = 400;

  private Judge() {}

  /**
   * Finds all contradictions.
   *
   * @param tries what callers were told
   * @param journal runs of all backend servers
   * @return one sentence for each fault, empty when all is true
   */
  public static List<String> faults(final List<Try> tries, final List<JournalEntry> journal) {
    final List<String> result = new ArrayList<>();
    final Map<String, Integer> runsByKey = new HashMap<>();
    final Set<String> ranIds = new HashSet<>();
    for (final JournalEntry entry : journal) {
      ranIds.add(entry.id());
      if (!entry.key().isEmpty() && runsByKey.merge(entry.key(), 1, Integer::sum) == 2) {
        result.add("key " + entry.key() + " ran more than once");
      }
    }
    for (final Try attempt : tries) {
      final boolean ran = ranIds.contains(attempt.id());
      if (attempt.outcome().equals("not-run") && ran) {
        result.add("request " + attempt.id() + " was reported as not-run and ran");
      }
      if (attempt.outcome().equals("ran")) {
        judgeResponse(attempt, ran, result);
      }
    }
    return result;
  }

  private static void judgeResponse(
      final Try attempt, final boolean ran, final List<String> faults) {
    if (!ran) {
      faults.add("request " + attempt.id() + " was reported as ran and did not run");
    }
    if (attempt.status() < FIRST_ERROR && !attempt.intact()) {
      faults.add("request " + attempt.id() + " got a response that is not its own or not whole");
    }
  }
}
