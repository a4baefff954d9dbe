package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Runs one case: arguments are its name, the root of the repository and the folder of the case. */
public final class Cases {
  private static final int HELD = 0;
  private static final int BROKEN = 11;
  private static final int COULD_NOT_RUN = 12;

  /** Time between two jobs in ms at the rate of assign-round on paseos-plata, 3.35 a second. */
  private static final long ROUND_MILLIS = 300;

  /** Longest time of a case in ms. */
  private static final long MAX_MILLIS = 110_000;

  private Cases() {}

  /** A case; returns what breaks the rule. */
  private interface Case {
    List<String> play(Deployment deployment, Record record, boolean trouble) throws Exception;
  }

  /** Runs a case. The exit codes differ from those of a Java machine that fails; see run.sh. */
  public static void main(final String[] args) {
    System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    System.setProperty("sun.net.httpserver.nodelay", "true");
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Case chosen =
        switch (args[0]) {
          case "timed" -> Cases::timedJob;
          case "lasting" -> Cases::lastingTaskThatEndsDone;
          case "hopeless" -> Cases::hopelessJobs;
          case "removed-route" -> Cases::removedRoute;
          default -> throw new IllegalArgumentException(args[0]);
        };
    startWatchdog();
    int result = COULD_NOT_RUN;
    try (Record record = new Record(Path.of(args[2], "record.txt"))) {
      record.line("case %s, trouble %s", args[0], trouble);
      try (Deployment deployment = new Deployment(Path.of(args[1]), record)) {
        final List<String> broken = chosen.play(deployment, record, trouble);
        broken.forEach(line -> record.line("BROKEN %s", line));
        record.line(broken.isEmpty() ? "the rule held" : "the rule was broken");
        broken.stream().limit(5).forEach(System.out::println);
        result = broken.isEmpty() ? HELD : BROKEN;
      } catch (final Exception error) {
        record.line("the case couldn't run: %s", error);
        error.printStackTrace();
      }
    } catch (final IOException error) {
      error.printStackTrace();
    }
    System.exit(result);
  }

  /** Ends the case, and with it all processes, before its time is over. */
  private static void startWatchdog() {
    final Thread thread =
        new Thread(
            () -> {
              try {
                Thread.sleep(MAX_MILLIS);
              } catch (final InterruptedException error) {
                return;
              }
              System.err.println("the case took too long");
              System.exit(COULD_NOT_RUN);
            });
    thread.setDaemon(true);
    thread.start();
  }

  private static Map<String, Object> step(final int count, final int cpu, final long estimate) {
    return Json.of("Count", count, "Cpu", cpu, "MemMb", 1024, "EstimateMs", estimate);
  }

  private static Map<String, Object> job(final String spec, final Map<String, Object> step) {
    return Json.of("Spec", spec, "Steps", List.of(step));
  }

  /**
   * A job that runs at a set time. While its tasks work, the leader is killed. TWICE: no task
   * starts again once its end has been taken note of, and no task runs twice at the same time.
   */
  private static List<String> timedJob(
      final Deployment deployment, final Record record, final boolean trouble) throws Exception {
    deployment.configure(7, true, 4);
    deployment.start();
    final String id = "5c0e7a21d94b36f8";
    final long due = System.currentTimeMillis() + 3_000;
    final Map<String, Object> job = job("work 900", step(6, 2_300, 900));
    job.put("MaxRuns", 1);
    job.put("FirstRunMs", due);
    job.put("IntervalMs", 20_000);
    deployment.submit(id, job);
    while (deployment.fleet().runsOf(id).size() < 6) {
      Thread.sleep(10);
    }
    Thread.sleep(400);
    if (trouble) {
      deployment.leader().kill(deployment.fleet());
    }
    for (int i = 0; i < 20 && !deployment.state(id).equals("completed"); i++) {
      Thread.sleep(500);
    }
    Thread.sleep(2_000);
    record.line("state of the job: %s", deployment.state(id));
    return deployment.fleet().startedTwice();
  }

  /**
   * A job with tasks that last. The first run of each task ends done, as of a program that exits
   * without an error. LOST: each task that lasts runs again within 6 + 3 s, until its job is
   * cancelled.
   */
  private static List<String> lastingTaskThatEndsDone(
      final Deployment deployment, final Record record, final boolean trouble) throws Exception {
    deployment.configure(7, true, 3);
    deployment.start();
    final String id = "a21d94b36f85c0e7";
    final Map<String, Object> step = step(5, 2_700, 700);
    step.put("LongRunning", true);
    deployment.submit(id, job(trouble ? "exit 3000" : "last", step));
    Thread.sleep(20_000);
    final String state = deployment.state(id);
    record.line("state of the job, which nobody has cancelled: %s", state);
    final List<String> broken = new ArrayList<>();
    for (int index = 0; index < 5; index++) {
      final List<Run> runs = deployment.fleet().runsOf(id + ".0.0." + index);
      synchronized (deployment.fleet()) {
        final Run last = runs.get(runs.size() - 1);
        if (last.endedAt >= 0 && record.now() - last.endedAt > 9) {
          broken.add(
              String.format(
                  "nothing runs for %.1f s, job shown as %s, %.0f%% of the capacity in use: %s",
                  record.now() - last.endedAt,
                  state,
                  100 * deployment.fleet().usedShare(),
                  last));
        }
      }
    }
    return broken;
  }

  /**
   * The last of 100 jobs can never be done; its six tasks go to a worker each. LOST:
   * 14 s after the end of the traffic, no job has nothing running for 3 s while its turn has come
   * and there is room for it.
   */
  private static List<String> hopelessJobs(
      final Deployment deployment, final Record record, final boolean trouble) throws Exception {
    final int jobs = 100;
    deployment.configure(7, true, 4);
    deployment.start();
    final List<String> ids = new ArrayList<>();
    for (int i = 1; i <= jobs; i++) {
      final String id = String.format("7a21d94b36f8%04x", i);
      ids.add(id);
      final boolean last = i == jobs;
      final Map<String, Object> step = step(last ? 6 : 1, 2_300, 850);
      if (last) {
        step.put("MaxPerServer", 1);
      }
      deployment.submit(id, job(last && trouble ? "fail 850" : "work 850", step));
      Thread.sleep(ROUND_MILLIS);
    }
    record.line("end of the traffic");
    Thread.sleep(14_000);
    final List<Integer> before = ids.stream().map(id -> runCount(deployment, id)).toList();
    Thread.sleep(3_500);
    final List<String> broken = new ArrayList<>();
    for (int i = 0; i < ids.size(); i++) {
      final String id = ids.get(i);
      final List<Run> runs = deployment.fleet().runsOf(id);
      final String state = deployment.state(id);
      if ((state.equals("pending") || state.equals("running"))
          && runs.size() == before.get(i)
          && runs.stream().allMatch(run -> run.endedAt >= 0)) {
        broken.add(
            String.format(
                "job %s is shown as %s after %d failed runs, at most 4 a task; nothing of it has run"
                    + " since %.3f s, %.0f%% of the capacity is in use",
                id,
                state,
                runs.size(),
                runs.get(runs.size() - 1).endedAt,
                100 * deployment.fleet().usedShare()));
      }
    }
    return broken;
  }

  private static int runCount(final Deployment deployment, final String id) {
    return deployment.fleet().runsOf(id).size();
  }

  /**
   * The last of 100 jobs can never be done. Its queue is removed from the configuration, and then
   * the leader is killed. BUDGET: no start after MaxAttempts failed runs of the task.
   */
  private static List<String> removedRoute(
      final Deployment deployment, final Record record, final boolean trouble) throws Exception {
    final int maxAttempts = 3;
    deployment.configure(7, true, maxAttempts);
    deployment.start();
    final String id = "d94b36f85c0e7a21";
    for (int i = 1; i < 100; i++) {
      deployment.submit(
          String.format("0b36f85c0e7a%04x", i), job("work 850", step(1, 2_300, 850)));
      Thread.sleep(ROUND_MILLIS);
    }
    deployment.submit(id, job("fail 1500", step(1, 2_300, 1_500)));
    Thread.sleep(300);
    if (trouble) {
      deployment.configure(9, false, maxAttempts);
      Thread.sleep(700);
      deployment.leader().kill(deployment.fleet());
    }
    Thread.sleep(14_000);
    final List<String> broken = new ArrayList<>();
    final List<Run> runs = deployment.fleet().runsOf(id);
    int failed = 0;
    for (final Run run : runs) {
      if (failed >= maxAttempts) {
        broken.add("started after " + failed + " failed runs: " + run);
      }
      failed += run.how.equals("failed") && run.notedAt >= 0 && !run.lapsedBeforeNoted ? 1 : 0;
    }
    return broken;
  }
}
