package review;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** The workers, their machines and all runs. Its monitor guards the state of all workers. */
final class Fleet {
  private final ScheduledExecutorService timer =
      Executors.newScheduledThreadPool(
          2,
          task -> {
            final Thread thread = new Thread(task, "timer");
            thread.setDaemon(true);
            return thread;
          });

  private final Store store;
  private final Work work;
  private final Record record;
  private final List<Worker> workers = new ArrayList<>();
  private final List<Run> runs = new ArrayList<>();

  Fleet(final Store store, final Work work, final Record record) {
    this.store = store;
    this.work = work;
    this.record = record;
  }

  Store store() {
    return store;
  }

  Work work() {
    return work;
  }

  Record record() {
    return record;
  }

  synchronized void add(final Worker worker) {
    workers.add(worker);
  }

  synchronized void started(final Run run) {
    runs.add(run);
  }

  /** Returns all runs of a task, or of all tasks of a job, in the order of their starts. */
  synchronized List<Run> runsOf(final String jobOrTask) {
    return runs.stream()
        .filter(run -> run.task.equals(jobOrTask) || run.task.startsWith(jobOrTask + "."))
        .toList();
  }

  /** Returns the share of the capacity that is in use. */
  synchronized double usedShare() {
    final long free = workers.stream().mapToLong(Worker::freeCpu).sum();
    return 1 - (double) free / (Worker.CPU * workers.size());
  }

  /** Runs an action later, under the monitor of the fleet. */
  void after(final long millis, final Runnable action) {
    timer.schedule(() -> guarded(action), millis, TimeUnit.MILLISECONDS);
  }

  /** Runs an action at once and then periodically. */
  void every(final long millis, final Runnable action) {
    timer.scheduleAtFixedRate(action, 0, millis, TimeUnit.MILLISECONDS);
  }

  private synchronized void guarded(final Runnable action) {
    action.run();
  }

  /** Answers a call about machines; no move or upkeep is asked for in these cases. */
  synchronized Http.Answer machines(final String path) {
    if (!path.equals("/api/machines")) {
      record.line("machines: unexpected call of %s", path);
      return new Http.Answer(409, Json.of("Reason", "busy"));
    }
    return new Http.Answer(
        200,
        Json.of("Machines", workers.stream().map(Worker::machineRow).toList(), "NextToken", null));
  }

  /** Lists the runs that break the rule TWICE, as written. */
  synchronized List<String> startedTwice() {
    final List<String> found = new ArrayList<>();
    for (int i = 0; i < runs.size(); i++) {
      for (int k = 0; k < i; k++) {
        final Run earlier = runs.get(k);
        final Run later = runs.get(i);
        if (!earlier.task.equals(later.task)) {
          continue;
        }
        if (earlier.endedAt < 0 || later.startedAt < earlier.endedAt) {
          found.add("two runs at the same time: " + earlier + " | " + later);
        } else if (earlier.isDoneAndNoted()) {
          found.add("a start after an end that was taken note of: " + earlier + " | " + later);
        }
      }
    }
    return found;
  }
}
