package org.lentilsail.standin.jobs;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.lentilsail.jobs.JobNode;
import org.lentilsail.model.job.JobSpec;

/** Plays one outage of the store in a deployment of the users' size and measures the recovery. */
final class StoreOutage {
  /** What happens to the leader within the outage. */
  enum Leader {
    /** It stays alive. */
    ALIVE,
    /** It is stopped as planned; its process is still alive when the store returns. */
    RESIGNED,
    /** It is killed. */
    KILLED
  }

  /** What happens to the leases of the store within the outage. */
  enum Leases {
    /** They keep the time that they have left. */
    PAUSE,
    /** They expire. */
    EXPIRE
  }

  /** Longest time until the first start after the return of the store; above it, -1 is measured. */
  private static final Duration MAX_RECOVERY = Duration.ofSeconds(4);

  private static final int WORKERS = 250;
  private static final int WAITING_JOBS = 400;
  private static final int TASKS = 12;
  private static final long TASK_MILLIS = 900;

  /** Time from the beginning of the outage until the leader is stopped or killed. */
  private static final Duration LEADER_FAULT_DELAY = Duration.ofMillis(4_000);

  final SimulatedDeployment deployment = new SimulatedDeployment(task -> TASK_MILLIS);
  private final List<String> daemons = new ArrayList<>();
  private final List<JobNode> nodes;
  private final List<long[]> calls = new ArrayList<>();

  StoreOutage(final int daemonCount) {
    for (int i = 0; i < WORKERS; i++) {
      deployment.startWorker("w" + i);
    }
    for (int i = 0; i < daemonCount; i++) {
      daemons.add("d" + i);
    }
    nodes = deployment.startNodes(daemons.toArray(String[]::new));
    deployment.advance(Duration.ofSeconds(1));
    for (int i = 0; i < WAITING_JOBS; i++) {
      nodes
          .get(1)
          .jobApi()
          .submit(
              deployment.submitted(
                  SimulatedDeployment.QUEUE,
                  new JobSpec(
                      String.format("%016x", 0xa000 + i),
                      "work",
                      List.of(SimulatedDeployment.step(TASKS)),
                      0,
                      0,
                      0)));
    }
    deployment.advance(Duration.ofMillis(900));
    deployment.store.onCall(
        isWrite -> calls.add(new long[] {deployment.time.nanos(), isWrite ? 1 : 0}));
  }

  /** Plays an outage for all daemons, up to the return of the store. */
  void play(
      final StoreFault fault, final Leader leader, final Leases leases, final Duration duration) {
    if (leases == Leases.PAUSE) {
      deployment.store.pauseLeases();
    }
    daemons.forEach(daemon -> deployment.store.fault(daemon, fault));
    deployment.advance(LEADER_FAULT_DELAY);
    if (leader == Leader.RESIGNED) {
      nodes.get(0).resign();
    } else if (leader == Leader.KILLED) {
      deployment.isolate(daemons.get(0));
    }
    deployment.advance(duration.minus(LEADER_FAULT_DELAY));
    daemons.stream()
        .skip(leader == Leader.KILLED ? 1 : 0)
        .forEach(daemon -> deployment.store.fault(daemon, StoreFault.NONE));
    if (leases == Leases.PAUSE) {
      deployment.store.resumeLeases();
    }
  }

  /** Lets the store reject only the leader. */
  void rejectLeader(final StoreFault fault) {
    deployment.store.fault(daemons.get(0), fault);
  }

  /**
   * Measures the time in ms until a daemon has claimed leadership in a term after the given one.
   */
  long millisToClaim(final String termBefore) {
    return millisUntil(() -> !term().equals(termBefore));
  }

  /** Measures the time in ms until the first start of a task. */
  long millisToStart() {
    final int before = deployment.workers.history().startCount();
    return millisUntil(() -> deployment.workers.history().startCount() > before);
  }

  String term() {
    return deployment
        .store
        .get("lead/term")
        .map(item -> new String(item.value(), StandardCharsets.UTF_8))
        .orElse("");
  }

  /** Returns the highest number of calls in any second, of writes or of reads. */
  int maxCallsPerSecond(final boolean isWrite) {
    final List<Long> times =
        calls.stream().filter(call -> (call[1] == 1) == isWrite).map(call -> call[0]).toList();
    int max = 0;
    int first = 0;
    for (int last = 0; last < times.size(); last++) {
      while (times.get(last) - times.get(first) >= TimeUnit.SECONDS.toNanos(1)) {
        first++;
      }
      max = Math.max(max, last - first + 1);
    }
    return max;
  }

  private long millisUntil(final BooleanSupplier condition) {
    final long from = deployment.time.nanos();
    while (!condition.getAsBoolean()) {
      if (deployment.time.nanos() - from > MAX_RECOVERY.toNanos()) {
        return -1;
      }
      deployment.advance(Duration.ofMillis(1));
    }
    return TimeUnit.NANOSECONDS.toMillis(deployment.time.nanos() - from);
  }
}
