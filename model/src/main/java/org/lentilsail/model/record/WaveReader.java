package org.lentilsail.model.record;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import org.lentilsail.model.json.JsonObjectReader;

/** Reads the spec of a maintenance wave. */
final class WaveReader implements SpecReader<WaveSpec> {
  /** Maximum run number, and maximum number of resumptions. */
  private static final int MAX_RUN = 1_000_000_000;

  /** Default drain and return limit in s. */
  private static final int DEFAULT_LIMIT_SECONDS = 300;

  /** Maximum drain and return limit in s. */
  private static final int MAX_LIMIT_SECONDS = 24 * 3_600;

  /** Maximum number of days between runs. */
  private static final int MAX_REPEAT_DAYS = 366;

  @Override
  public WaveSpec read(
      final String name, final JsonObjectReader spec, final int version, final ReadMode mode) {
    final List<String> pools = pools(spec);
    final int maxParallel = integer(spec, "maxParallel", 1, 1, SpecReaders.MAX_VMS);
    final int run = integer(spec, "run", 1, 1, MAX_RUN);
    final boolean hasVersion2Fields = version > 1;
    return new WaveSpec(
        name,
        pools,
        maxParallel,
        run,
        hasVersion2Fields ? integer(spec, "haltAfterFailures", 2, 1, SpecReaders.MAX_VMS) : 2,
        hasVersion2Fields ? resume(spec) : ResumeMode.OPERATOR,
        hasVersion2Fields && spec.flag("paused", false),
        hasVersion2Fields ? limitSeconds(spec, "drainLimitSeconds") : DEFAULT_LIMIT_SECONDS,
        hasVersion2Fields ? limitSeconds(spec, "returnLimitSeconds") : DEFAULT_LIMIT_SECONDS,
        hasVersion2Fields ? integer(spec, "repeatDays", 0, 0, MAX_REPEAT_DAYS) : 0,
        hasVersion2Fields ? integer(spec, "resumes", 0, 0, MAX_RUN) : 0);
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
    boolean validNames = true;
    for (final JsonNode element : spec.list("pools")) {
      validNames &= element.isTextual() && RecordKey.validName(element.textValue());
      pools.add(element.asText());
    }
    if (!validNames || pools.isEmpty() || new HashSet<>(pools).size() < pools.size()) {
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
      final int defaultValue,
      final int minimum,
      final int maximum) {
    return (int) spec.integer(name, defaultValue, minimum, maximum);
  }
}
