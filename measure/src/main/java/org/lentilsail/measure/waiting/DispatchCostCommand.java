package org.lentilsail.measure.waiting;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.lentilsail.measure.MeasureCommand;
import org.lentilsail.policy.dispatch.DispatchListener;
import org.lentilsail.policy.dispatch.DispatchRequest;
import org.lentilsail.policy.dispatch.DispatchRequestId;
import org.lentilsail.policy.dispatch.DispatchSettings;
import org.lentilsail.policy.dispatch.RefusalReason;
import org.lentilsail.policy.dispatch.ServiceDispatcher;
import org.lentilsail.policy.dispatch.WorkerMode;
import org.lentilsail.policy.dispatch.WorkerResult;

/** Measures the duration of a dispatch decision at several numbers of workers. */
public final class DispatchCostCommand implements MeasureCommand {
  /** Numbers of workers of one service. */
  private static final List<Integer> SIZES = List.of(150, 300, 600, 1_200);

  /** Decisions before the measurement, in which the JIT compiler optimises the code. */
  private static final int WARM_UP_DECISIONS = 400_000;

  /** Number of measured decisions. */
  private static final int MEASURED_DECISIONS = 1_000_000;

  /** Number of slot requests that wait while all slots are in use. */
  private static final int QUEUED_REQUESTS = 200;

  @Override
  public String name() {
    return "dispatch-cost";
  }

  @Override
  public int run(final String[] args) {
    System.out.printf("%-10s %24s%n", "workers", "us per decision");
    SIZES.forEach(size -> new DispatcherBenchmark(size).run(WARM_UP_DECISIONS));
    for (final int size : SIZES) {
      final DispatcherBenchmark benchmark = new DispatcherBenchmark(size);
      benchmark.run(WARM_UP_DECISIONS);
      final long start = System.nanoTime();
      benchmark.run(MEASURED_DECISIONS);
      final double micros = (System.nanoTime() - start) / 1e3 / MEASURED_DECISIONS;
      System.out.printf("%-10d %24s%n", size, String.format(Locale.ROOT, "%.2f", micros));
    }
    return 0;
  }

  /** Dispatcher whose slots are all in use; each release is followed by a new slot request. */
  private static final class DispatcherBenchmark implements DispatchListener {
    private final ServiceDispatcher dispatcher;

    /** Slot requests that hold slots, oldest first. */
    private final Deque<DispatchRequestId> running = new ArrayDeque<>();

    /** Source of daemons, zones, paths, teams, urgency and run times. */
    private final Random random = new Random(1);

    /** Number of the latest slot request. */
    private long lastNumber;

    /** Current time in ns. */
    private long now;

    DispatcherBenchmark(final int workers) {
      dispatcher =
          new ServiceDispatcher(new DispatchSettings(200, 256, Map.of()), new Random(1), this);
      for (int i = 0; i < workers; i++) {
        dispatcher.putWorker("vm" + i, "z" + i % 5, WorkerMode.OPEN, 0);
      }
      for (int i = 0; i < workers * 8 + QUEUED_REQUESTS; i++) {
        submit();
      }
    }

    void run(final int decisions) {
      for (int i = 0; i < decisions; i++) {
        now += 2_000;
        final DispatchRequestId id = running.poll();
        if (id != null) {
          dispatcher.release(id, WorkerResult.OK, 1_000_000L * (1 + random.nextInt(20)), now);
        }
        submit();
      }
    }

    private void submit() {
      final int team = random.nextInt(21);
      dispatcher.submit(
          new DispatchRequest(
              new DispatchRequestId("d" + random.nextInt(7), ++lastNumber),
              "z" + random.nextInt(5),
              "/p" + random.nextInt(50) + "/x",
              "team" + (char) ('a' + team),
              random.nextInt(100) == 0,
              0,
              now + 30_000_000_000L,
              Set.of()),
          now);
    }

    @Override
    public void granted(final DispatchRequestId id, final String vm) {
      running.add(id);
    }

    @Override
    public void refused(final DispatchRequestId id, final RefusalReason reason) {
      // A refused slot request holds no slot.
    }
  }
}
