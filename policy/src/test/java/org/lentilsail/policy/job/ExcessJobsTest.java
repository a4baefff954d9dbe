package org.lentilsail.policy.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.lentilsail.policy.job.JobFixture.MILLI;
import static org.lentilsail.policy.job.JobFixture.organisation;
import static org.lentilsail.policy.job.JobFixture.step;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Which jobs an organisation submitted beyond its weight. */
class ExcessJobsTest {
  private final JobFixture fixture = new JobFixture();

  /**
   * Guards against a wrong bound or window: with no weight nothing is in excess, with any weight
   * one job is allowed, and a job leaves the window after 5 s.
   */
  @ParameterizedTest
  @CsvSource({
    "0, 0, 20, 0",
    "0.1, 0, 3, 2",
    "2, 0, 10, 0",
    "2, 0, 12, 2",
    "2, 499, 30, 20",
    "2, 500, 30, 0",
    "0.2, 4999, 3, 2",
    "0.2, 5000, 3, 0",
    "1e300, 0, 20, 0"
  })
  void countsJobsBeyondWeight(
      final double weight, final long gapMillis, final int jobs, final int expected) {
    fixture.organisations(organisation("a", weight));
    final List<JobRun> submitted = new ArrayList<>();
    for (int i = 0; i < jobs; i++) {
      submitted.add(submit("a", i * gapMillis));
    }
    assertThat(inExcess(submitted), is(submitted.subList(jobs - expected, jobs)));
  }

  /** Guards against jobs without organisation, or of a removed one, that count as excess. */
  @Test
  void jobsWithoutConfiguredOrganisationAreNotInExcess() {
    fixture.organisations(organisation("a", 0.2));
    final List<JobRun> submitted =
        List.of(submit("", 0), submit("", 0), submit("gone", 0), submit("gone", 0));
    assertThat(inExcess(submitted), is(List.of()));
  }

  /** Guards against the weight of an earlier configuration. */
  @Test
  void newWeightAppliesToKnownJobs() {
    fixture.organisations(organisation("a", 0.2));
    final List<JobRun> submitted = List.of(submit("a", 0), submit("a", 1));
    assertThat(inExcess(submitted), is(submitted.subList(1, 2)));
    fixture.organisations(organisation("a", 0.4));
    assertThat(inExcess(submitted), is(List.of()));
  }

  /**
   * Load: a leader takes over in a burst of one organisation. It reads the jobs in the order of
   * their ids and has to classify them as its predecessor did, which saw some of them after later
   * ones since the clocks of daemons differ.
   */
  @ParameterizedTest
  @CsvSource({"1", "2", "3"})
  void nextLeaderFindsTheSameJobs(final long seed) {
    fixture.organisations(organisation("a", 3));
    final List<JobRun> submitted = new ArrayList<>();
    final Random random = new Random(seed);
    for (int i = 0; i < 200; i++) {
      submitted.add(submit("a", 200 + i * 40 + random.nextInt(-100, 100)));
      fixture.jobs.isInExcess(submitted.get(random.nextInt(submitted.size())));
    }
    final List<JobRun> shuffled = new ArrayList<>(submitted);
    Collections.shuffle(shuffled, random);
    final JobFixture next = new JobFixture();
    next.organisations(organisation("a", 3));
    shuffled.forEach(job -> next.jobs.accept(job.submitted(), 0, 0));
    for (final JobRun job : submitted) {
      assertThat(next.jobs.isInExcess(next.jobs.job(job.id())), is(fixture.jobs.isInExcess(job)));
    }
  }

  private JobRun submit(final String organisation, final long millis) {
    return fixture.submitFor(organisation, "holds", millis * MILLI, step(1, 1_000, 100));
  }

  private List<JobRun> inExcess(final List<JobRun> submitted) {
    return submitted.stream().filter(fixture.jobs::isInExcess).toList();
  }
}
