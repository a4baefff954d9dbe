package org.lentilsail.model.record;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.LinkedHashMap;
import java.util.Map;
import org.lentilsail.model.json.JsonObjectReader;

/** Reads the spec of a service. */
final class ServiceReader implements SpecReader<ServiceSpec> {
  /** Default timeout of a request in ms. */
  private static final long DEFAULT_TIMEOUT_MILLIS = 30_000;

  /** Maximum timeout of a request in ms. */
  private static final long MAX_TIMEOUT_MILLIS = 24 * 3_600_000L;

  /** Default for the expected run time in ms below which work counts as short. */
  private static final long DEFAULT_SHORT_MILLIS = 200;

  /** Default limit of queued requests. */
  private static final long DEFAULT_QUEUE_LIMIT = 256;

  /** Maximum limit of queued requests. */
  private static final long MAX_QUEUE_LIMIT = 1_000_000;

  /** Maximum weight of a team. */
  private static final long MAX_WEIGHT = 1_000_000;

  @Override
  public ServiceSpec read(
      final String name, final JsonObjectReader spec, final int version, final ReadMode mode) {
    final String pool = SpecReaders.reference(spec, "pool", "a pool");
    final String probePath =
        spec.text(
            "probePath",
            "/",
            text -> text.matches("/[!-~]*"),
            "write a path that begins with / and has no spaces");
    long timeoutMillis = DEFAULT_TIMEOUT_MILLIS;
    long shortMillis = DEFAULT_SHORT_MILLIS;
    long queueLimit = DEFAULT_QUEUE_LIMIT;
    Map<String, Integer> teams = Map.of();
    if (version == 1) {
      timeoutMillis = spec.integer("timeoutMillis", DEFAULT_TIMEOUT_MILLIS, 1, MAX_TIMEOUT_MILLIS);
    } else {
      final JsonObjectReader timeout = spec.child("timeout");
      timeoutMillis = timeout.integer("millis", DEFAULT_TIMEOUT_MILLIS, 1, MAX_TIMEOUT_MILLIS);
      if (mode != ReadMode.STORED) {
        timeout.rejectUnknownNonNullFields();
      }
      shortMillis = spec.integer("shortMillis", DEFAULT_SHORT_MILLIS, 1, MAX_TIMEOUT_MILLIS);
      queueLimit = spec.integer("queueLimit", DEFAULT_QUEUE_LIMIT, 0, MAX_QUEUE_LIMIT);
      teams = teams(spec);
    }
    return new ServiceSpec(
        name, pool, probePath, timeoutMillis, shortMillis, (int) queueLimit, teams);
  }

  private static Map<String, Integer> teams(final JsonObjectReader spec) {
    final Map<String, Integer> weights = new LinkedHashMap<>();
    final JsonObjectReader teams = spec.child("teams");
    final JsonNode named =
        spec.node("teams").filter(JsonNode::isObject).orElse(JsonNodeFactory.instance.objectNode());
    named
        .fieldNames()
        .forEachRemaining(team -> weights.put(team, (int) teams.integer(team, 1, 1, MAX_WEIGHT)));
    return weights;
  }
}
