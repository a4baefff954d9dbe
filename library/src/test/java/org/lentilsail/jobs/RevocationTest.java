package org.lentilsail.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lentilsail.ManualExecutor;
import org.lentilsail.model.job.JobConfiguration;
import org.lentilsail.model.job.Organisation;
import org.lentilsail.model.job.QueueSpec;
import org.lentilsail.model.job.Resources;
import org.lentilsail.model.job.WaveRequest;
import org.lentilsail.model.job.WorkerEntry;
import org.lentilsail.model.time.ManualTimeSource;
import org.lentilsail.model.time.TimeSource;
import org.lentilsail.policy.access.AccessControl;
import org.lentilsail.policy.access.AccessRejection;
import org.lentilsail.policy.access.RevocationBounds;
import org.lentilsail.store.PrefixWatcher;
import org.lentilsail.store.StoreRetries;
import org.lentilsail.store.StoredItem;

/**
 * Guards against a removed key that a daemon accepts after the bound. Enumerates when the link to
 * the store fails and how, when the process or its VM pauses, how its clocks run and are set, and
 * how its watches lie to the removal; each of these is tried with a request at every 50 ms.
 */
class RevocationTest {
  private static final long REVOKE_MILLIS = 5_000;
  private static final long REVOKED_AT = 4_000;
  private static final long END = 16_000;
  private static final long STEP = 5;
  private static final long REQUEST_INTERVAL = 50;
  private static final String WITH_KEY = "1 key";
  private static final String WITHOUT_KEY = "2 other";

  private static final QueueSpec QUEUE =
      new QueueSpec("q", "h", "/q/", "s", 0, 3, 1.6, 600, false, false);

  /** How the link to the store behaves from a moment on: delays of requests and responses in ms. */
  private record Link(long requestDelay, long responseDelay) {}

  /**
   * A pause of the daemon.
   *
   * @param start when it begins in ms
   * @param length its length in ms
   * @param suspended whether the monotonic clock stops meanwhile
   */
  private record Pause(long start, long length, boolean suspended) {
    boolean covers(final long now) {
      return now >= start && now < start + length;
    }
  }

  /**
   * A schedule of events.
   *
   * @param startAt when the daemon starts in ms
   * @param linkFailsAt when the link changes in ms
   * @param link how it behaves from then on
   * @param pause pause of the daemon
   * @param setBackMillis by how much the wall clock is set back 2 s after the removal
   * @param rate speed of both clocks of the daemon
   */
  private record Schedule(
      long startAt, long linkFailsAt, Link link, Pause pause, long setBackMillis, double rate) {}

  /** A daemon without faults; also the base of the others. */
  private static final Schedule CALM =
      new Schedule(0, END, new Link(1, 1), new Pause(0, 0, false), 0, 1);

  private final ManualTimeSource time = new ManualTimeSource(0);
  private final ManualExecutor executor = new ManualExecutor(time);
  private final RevocationBounds strict = new RevocationBounds(true, REVOKE_MILLIS);
  private final AccessControl access = new AccessControl(time, strict);

  /** Results of the requests of one schedule. */
  private static final class Results {
    private int served;
    private int servedTooLate;
    private int rejectedForAge;
    private long firstServedAgain = END;
    private int calls;

    void add(
        final Optional<AccessRejection> rejection, final long sentAt, final long revokeMillis) {
      if (rejection.isEmpty()) {
        served++;
        servedTooLate += sentAt > REVOKED_AT + revokeMillis ? 1 : 0;
        firstServedAgain = rejectedForAge > 0 ? Math.min(firstServedAgain, sentAt) : END;
      } else if (rejection.get() == AccessRejection.CONFIGURATION_TOO_OLD && sentAt > 0) {
        rejectedForAge++;
      }
    }
  }

  @Test
  void noSchedulePermitsRemovedKeyAfterTheBound() {
    int schedules = 0;
    int rejected = 0;
    for (final long startAt : new long[] {0, 350, 700, 1_050, 1_400, 3_990, 3_995, 4_400}) {
      for (final long linkFailsAt : new long[] {3_000, 3_900, 3_995, 4_005, END}) {
        for (final Link link : links()) {
          for (final Pause pause : pauses()) {
            for (final long setBack : pause.suspended() ? new long[] {0} : SET_BACK) {
              for (final double rate : new double[] {0.95, 1.05}) {
                final Schedule schedule =
                    new Schedule(startAt, linkFailsAt, link, pause, setBack, rate);
                final Results results = run(schedule, true);
                assertThat(schedule.toString(), results.servedTooLate, is(0));
                schedules++;
                rejected += results.rejectedForAge;
              }
            }
          }
        }
      }
    }
    assertThat(schedules, greaterThan(4_000));
    assertThat(rejected, greaterThan(0));
  }

  private static final long[] SET_BACK = {0, 1_500, 6_000, -3_000};

  private static List<Link> links() {
    return List.of(
        new Link(1, 3_000),
        new Link(1, 9_000),
        new Link(2_000, 2_000),
        new Link(ScriptedStore.LOST, 1),
        new Link(1, ScriptedStore.LOST));
  }

  private static List<Pause> pauses() {
    return List.of(
        new Pause(0, 0, false),
        new Pause(3_500, 8_000, false),
        new Pause(3_500, 8_000, true),
        new Pause(3_995, 5_500, true),
        new Pause(6_000, 3_000, true));
  }

  /** Guards against bounds that reject callers of a daemon without faults. */
  @ParameterizedTest
  @ValueSource(longs = {2_000, 3_500, 5_000, 8_000})
  void daemonWithoutFaultsServesKeyUntilItsRemoval(final long revokeMillis) {
    final Results results = run(CALM, new RevocationBounds(true, revokeMillis));
    assertThat(results.rejectedForAge, is(0));
    assertThat((long) results.served, is(REVOKED_AT / REQUEST_INTERVAL));
  }

  @Test
  void strictBoundsOfFiveSecondsCostNoMoreCalls() {
    assertThat(run(CALM, true).calls, is(run(CALM, false).calls));
  }

  /** Guards against a daemon that rejects for another wait of its watch after a suspension. */
  @Test
  void daemonServesSoonAfterSuspension() {
    final Pause pause = new Pause(500, 3_000, true);
    final Results results =
        run(new Schedule(0, END, CALM.link(), pause, 0, 1), new RevocationBounds(true, 3_000));
    assertThat(results.rejectedForAge, greaterThan(0));
    assertThat(results.firstServedAgain, lessThan(REVOKED_AT));
  }

  /** Guards against calls in quick succession while there is no configuration. */
  @Test
  void storeWithoutConfigurationIsNotAskedMoreOften() {
    final ScriptedStore store = new ScriptedStore(executor, "");
    watch(store, access, executor, time, strict);
    executor.advance(Duration.ofSeconds(15));
    assertThat(store.calls, lessThan(13));
  }

  /** Guards against more calls of the store where the settings do not ask for strict bounds. */
  @Test
  void boundsThatAreNotStrictLeaveTheWatchAsItWas() {
    access.configure(new JobConfiguration(1, List.of(QUEUE), List.of(), 0, List.of()));
    final OperatorWatchTimeout timeout =
        new OperatorWatchTimeout(new RevocationBounds(false, 1_000), access);
    assertThat(timeout.get(), is(PrefixWatcher.WATCH_TIMEOUT));
  }

  /** Guards against a removed key that an earlier version brings back. */
  @Test
  void earlierVersionIsNotApplied() {
    final ScriptedStore store = new ScriptedStore(executor, WITHOUT_KEY);
    watch(store, access, executor, time, strict);
    executor.advance(Duration.ofMillis(100));
    store.put(WITH_KEY);
    executor.advance(Duration.ofMillis(100));
    assertThat(rejection(access), is(Optional.of(AccessRejection.KEY_UNKNOWN)));
  }

  /** Guards against evidence from a response whose configuration could not be read. */
  @Test
  void unreadableConfigurationIsNoEvidence() {
    final ScriptedStore store = new ScriptedStore(executor, WITH_KEY);
    watch(store, access, executor, time, strict);
    executor.advance(Duration.ofMillis(100));
    assertThat(rejection(access), is(Optional.empty()));
    store.put("");
    executor.advance(Duration.ofMillis(2));
    assertThat(rejection(access), is(Optional.of(AccessRejection.CONFIGURATION_TOO_OLD)));
    executor.advance(Duration.ofMillis(20));
    assertThat(rejection(access), is(Optional.empty()));
  }

  private Results run(final Schedule schedule, final boolean strict) {
    return run(schedule, new RevocationBounds(strict, REVOKE_MILLIS));
  }

  private Results run(final Schedule schedule, final RevocationBounds bounds) {
    final ManualTimeSource real = new ManualTimeSource(0);
    final ManualExecutor network = new ManualExecutor(real);
    final ManualExecutor daemon = new ManualExecutor(real);
    final SkewedClocks clocks = new SkewedClocks(real, schedule.rate());
    final ScriptedStore store = new ScriptedStore(network, WITH_KEY);
    final AccessControl access = new AccessControl(clocks, bounds);
    final Results results = new Results();
    for (long now = 0; now < END; now += STEP) {
      if (now == schedule.linkFailsAt()) {
        store.requestDelay = schedule.link().requestDelay();
        store.responseDelay = schedule.link().responseDelay();
      }
      if (now == REVOKED_AT) {
        store.put(WITHOUT_KEY);
      }
      if (now == REVOKED_AT + 2_000) {
        clocks.setWallClockBack(schedule.setBackMillis());
      }
      if (now == schedule.startAt()) {
        watch(store, access, daemon, clocks, bounds);
      }
      final boolean paused = schedule.pause().covers(now);
      if (!paused) {
        daemon.resume();
        if (now % REQUEST_INTERVAL == 0) {
          results.add(rejection(access), now, bounds.revokeMillis());
        }
      } else {
        daemon.pause();
        clocks.wasSuspendedFor(Duration.ofMillis(schedule.pause().suspended() ? STEP : 0));
      }
      network.advance(Duration.ofMillis(STEP));
    }
    results.calls = store.calls;
    return results;
  }

  private static void watch(
      final ScriptedStore store,
      final AccessControl access,
      final ManualExecutor executor,
      final TimeSource clocks,
      final RevocationBounds bounds) {
    final OperatorItems items =
        new OperatorItems(new TextDocuments(), access, changed -> {}, wave -> {}, () -> {});
    new PrefixWatcher(
            store,
            "op/",
            items,
            executor,
            clocks,
            Duration.ofMillis(5),
            new OperatorWatchTimeout(bounds, access),
            new StoreRetries(executor, clocks))
        .start();
  }

  /** Sends a request with the key that is removed. */
  private static Optional<AccessRejection> rejection(final AccessControl access) {
    return access
        .snapshot()
        .map(known -> known.decide(QUEUE, List.of("Bearer key")).rejection())
        .orElse(Optional.of(AccessRejection.CONFIGURATION_TOO_OLD));
  }

  /** Reads a configuration from its version and the only key, separated by a blank. */
  private static final class TextDocuments implements FleetDocuments {
    @Override
    public String workersPrefix() {
      return "servers/";
    }

    @Override
    public String operatorPrefix() {
      return "op/";
    }

    @Override
    public Optional<WorkerEntry> worker(final StoredItem item) {
      return Optional.empty();
    }

    @Override
    public boolean isConfiguration(final StoredItem item) {
      return true;
    }

    @Override
    public Optional<JobConfiguration> configuration(final StoredItem item) {
      final String[] words = new String(item.value(), StandardCharsets.UTF_8).split(" ");
      if (words.length < 2) {
        return Optional.empty();
      }
      final Organisation organisation =
          new Organisation("one", List.of(words[1]), 0, new Resources(0, 0, 0));
      return Optional.of(
          new JobConfiguration(
              Long.parseLong(words[0]), List.of(QUEUE), List.of(), 0, List.of(organisation)));
    }

    @Override
    public Optional<WaveRequest> wave(final StoredItem item) {
      return Optional.empty();
    }

    @Override
    public String waveStatusKey(final long number) {
      return "status/" + number;
    }

    @Override
    public byte[] waveStatus(final boolean completed) {
      return new byte[0];
    }
  }
}
