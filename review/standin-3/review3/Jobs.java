package review3;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** What the clients have sent, so that workers know what the tasks do. */
final class Jobs {
  private final Map<String, JsonNode> bodies = new ConcurrentHashMap<>();

  void add(final String id, final JsonNode body) {
    bodies.put(id, body);
  }

  /** Returns the step of a task ID.K.STEP.INDEX, null if no client has sent the job. */
  JsonNode step(final String task) {
    final String[] parts = task.split("\\.");
    final JsonNode body = bodies.get(parts[0]);
    return body == null ? null : body.path("Steps").get(Integer.parseInt(parts[2]));
  }
}
