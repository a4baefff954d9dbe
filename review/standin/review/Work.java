package review;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** What the jobs of the clients ask for, by the id of the job; workers look it up by task. */
final class Work {
  private final Map<String, Map<String, Object>> jobs = new ConcurrentHashMap<>();

  /** Remembers a job before it is handed in. */
  void add(final String id, final Map<String, Object> body) {
    jobs.put(id, body);
  }

  /** Returns the step of a task, null if no client sent its job. */
  Map<String, Object> step(final String task) {
    final String[] parts = task.split("\\.");
    final Map<String, Object> job = jobs.get(parts[0]);
    if (job == null) {
      return null;
    }
    final List<Map<String, Object>> steps = Json.list(job, "Steps");
    return steps.get(Integer.parseInt(parts[2]));
  }

  /** Returns the spec that a client sent. */
  String spec(final String task) {
    final Map<String, Object> job = jobs.get(task.split("\\.")[0]);
    return job == null ? "" : Json.text(job, "Spec");
  }
}
