package org.lentilsail.standin.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Path;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against accepted jobs that are unknown later, that end without cause, or that are stuck,
 * while random faults of daemons, store, workers and links overlap.
 */
class JobLifeTest {
  private static final long FIRST_SEED = Long.getLong("jobLife.first", 1);
  private static final long LAST_SEED = Long.getLong("jobLife.last", 4);

  static LongStream seeds() {
    return LongStream.rangeClosed(FIRST_SEED, LAST_SEED);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void acceptedJobsKeepTheirStateAndEnd(final long seed) throws IOException {
    final JobLife life = new JobLife(seed);
    life.play();
    if (!life.violations().isEmpty()) {
      life.writeTrace(Path.of("target", "job-life", "seed-" + seed));
    }
    assertThat(life.violations(), is(empty()));
  }
}
