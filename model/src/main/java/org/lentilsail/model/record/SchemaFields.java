package org.lentilsail.model.record;

import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Lists the fields of each kind and version, with the inner fields of those that are objects. */
final class SchemaFields {
  /** Marks a field that is written as a whole. */
  private static final Set<String> WHOLE = Set.of();

  /** Inner fields of the time limit of a service in version 2. */
  private static final Set<String> TIMEOUT = Set.of("millis");

  /** Inner fields of the limit of a budget in version 2. */
  private static final Set<String> LIMIT = Set.of("count", "percent");

  private SchemaFields() {}

  /**
   * Returns the fields of a version under the names that they have in another version.
   *
   * @param kind kind of the record
   * @param known version whose fields are returned
   * @param form version whose names are used; not lower
   * @return the fields; the value is the set of inner fields, empty for a field written as a whole
   */
  static Map<String, Set<String>> of(final RecordKind kind, final int known, final int form) {
    return switch (kind) {
      case POOL ->
          known == 1
              ? whole("spare", "minimumVms")
              : whole("spare", "minimumVms", "maximumVms", "team");
      case SERVICE -> service(known, form);
      case BUDGET ->
          known == 1
              ? Map.of("service", WHOLE, "maxUnavailable", form == 1 ? WHOLE : LIMIT)
              : Map.of("service", WHOLE, "maxUnavailable", LIMIT, "minimumPerZone", WHOLE);
      case WAVE ->
          known == 1
              ? whole("pools", "maxParallel", "run")
              : whole(
                  "pools",
                  "maxParallel",
                  "run",
                  "haltAfterFailures",
                  "resume",
                  "paused",
                  "drainLimitSeconds",
                  "returnLimitSeconds",
                  "repeatDays",
                  "resumes");
      case HOLD -> whole("vm", "force", "reason");
    };
  }

  private static Map<String, Set<String>> service(final int known, final int form) {
    if (known == 1) {
      return form == 1
          ? whole("pool", "timeoutMillis", "probePath")
          : Map.of("pool", WHOLE, "timeout", TIMEOUT, "probePath", WHOLE);
    }
    return Map.of(
        "pool",
        WHOLE,
        "timeout",
        TIMEOUT,
        "probePath",
        WHOLE,
        "shortMillis",
        WHOLE,
        "queueLimit",
        WHOLE,
        "teams",
        WHOLE);
  }

  private static Map<String, Set<String>> whole(final String... names) {
    return Set.of(names).stream().collect(Collectors.toMap(name -> name, name -> WHOLE));
  }
}
