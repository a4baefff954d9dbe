package org.lentilsail.model.record;

import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Fields of each kind and schema version, with the nested fields of those that are merged. */
final class SchemaFields {
  /** Marks a field that is replaced as a whole. */
  private static final Set<String> ATOMIC = Set.of();

  /** Nested fields of the timeout of a service in version 2. */
  private static final Set<String> TIMEOUT_FIELDS = Set.of("millis");

  /** Nested fields of the limit of a budget in version 2. */
  private static final Set<String> LIMIT_FIELDS = Set.of("count", "percent");

  private SchemaFields() {}

  /**
   * Returns the fields of a version under the names that they have in another version.
   *
   * @param kind kind of the record
   * @param fieldVersion version whose fields are returned
   * @param nameVersion version whose names are used; not lower than {@code fieldVersion}
   * @return nested fields by name of the field, empty for a field that is replaced as a whole
   */
  static Map<String, Set<String>> of(
      final RecordKind kind, final int fieldVersion, final int nameVersion) {
    return switch (kind) {
      case POOL ->
          fieldVersion == 1
              ? atomic("spare", "minimumVms")
              : atomic("spare", "minimumVms", "maximumVms", "team");
      case SERVICE -> service(fieldVersion, nameVersion);
      case BUDGET ->
          fieldVersion == 1
              ? Map.of(
                  "service", ATOMIC, "maxUnavailable", nameVersion == 1 ? ATOMIC : LIMIT_FIELDS)
              : Map.of("service", ATOMIC, "maxUnavailable", LIMIT_FIELDS, "minimumPerZone", ATOMIC);
      case WAVE ->
          fieldVersion == 1
              ? atomic("pools", "maxParallel", "run")
              : atomic(
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
      case HOLD -> atomic("vm", "force", "reason");
    };
  }

  private static Map<String, Set<String>> service(final int fieldVersion, final int nameVersion) {
    if (fieldVersion == 1) {
      return nameVersion == 1
          ? atomic("pool", "timeoutMillis", "probePath")
          : Map.of("pool", ATOMIC, "timeout", TIMEOUT_FIELDS, "probePath", ATOMIC);
    }
    return Map.of(
        "pool",
        ATOMIC,
        "timeout",
        TIMEOUT_FIELDS,
        "probePath",
        ATOMIC,
        "shortMillis",
        ATOMIC,
        "queueLimit",
        ATOMIC,
        "teams",
        ATOMIC);
  }

  private static Map<String, Set<String>> atomic(final String... names) {
    return Set.of(names).stream().collect(Collectors.toMap(name -> name, name -> ATOMIC));
  }
}
