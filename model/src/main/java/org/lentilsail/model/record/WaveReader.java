package org.lentilsail.model.record;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import org.lentilsail.model.json.JsonObjectReader;

/** Reads the spec of a maintenance wave. */
final class WaveReader implements SpecReader<WaveSpec> {
  /** Largest number of a run, and of resumptions. */
  private static final int MAX_RUN = 1_000_000_000;

  /** Limit in s when the record names none. */
  private static final int DEFAULT_LIMIT_SECONDS = 300;

  /** Largest limit in s. */
  private static final int MAX_LIMIT_SECONDS = 24 * 3_600;

  /** Largest number of days between runs. */
  private static final int MAX_REPEAT_DAYS = 366;

  @Override
  public WaveSpec read(
      final String name, final JsonObjectReader spec, final int version, final ReadMode mode) {
    final List<String> pools = pools(spec);
    final int maxParallel = integer(spec, "maxParallel", 1, 1, SpecReaders.MAX_VMS);
    final int run = integer(spec, "run", 1, 1, MAX_RUN);
    final boolean two = version > 1;
    return new WaveSpec(
        name,
        pools,
        maxParallel,
        run,
        two ? integer(spec, "haltAfterFailures", 2, 1, SpecReaders.MAX_VMS) : 2,
        two ? resume(spec) : ResumeMode.OPERATOR,
        two && spec.flag("paused", false),
        two ? limitSeconds(spec, "drainLimitSeconds") : DEFAULT_LIMIT_SECONDS,
        two ? limitSeconds(spec, "returnLimitSeconds") : DEFAULT_LIMIT_SECONDS,
        two ? integer(spec, "repeatDays", 0, 0, MAX_REPEAT_DAYS) : 0,
        two ? integer(spec, "resumes", 0, 0, MAX_RUN) : 0);
  }

  private static ResumeMode resume(final JsonObjectReader spec) {
    final String text =
        spec.text(
            "resume",
            "operator",
            value -> "operator".equals(value) || "automatic".equals(value),
            "write operator or automatic");
    return ResumeMode.valueOf(text.toUpperCase(Locale.ROOT));
  }

  private static List<String> pools(final JsonObjectReader spec) {
    final List<String> pools = new ArrayList<>();
    boolean names = true;
    for (final JsonNode element : spec.list("pools")) {
      names &= element.isTextual() && RecordKey.validName(element.textValue());
      pools.add(element.asText());
    }
    if (!names || pools.isEmpty() || new HashSet<>(pools).size() < pools.size()) {
      spec.addFault("pools", "write a list of one or more names of pools, each once");
    }
    return pools;
  }

  private static int limitSeconds(final JsonObjectReader spec, final String name) {
    return integer(spec, name, DEFAULT_LIMIT_SECONDS, 1, MAX_LIMIT_SECONDS);
  }

  private static int integer(
      final JsonObjectReader spec,
      final String name,
      final int byDefault,
      final int least,
      final int most) {
    return (int) spec.integer(name, byDefault, least, most);
  }
}
