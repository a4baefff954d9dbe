package review2;

import java.nio.file.Path;
import java.util.List;

/** A worker is lost for good; the others are full of the tasks of a gang. */
final class FullGang implements Main.Case {
  private static final int WORKERS = 8;
  private static final long HALF_CPU = 32_000;
  private static final long GANG_MILLIS = 15_000;
  private static final long LATEST_RUN_MILLIS = 6_000;
  private static final long IDLE_MILLIS = 3_000;
  private static final String GANG = "0000000000ca0001";
  private static final String FILLER = "0000000000cc0001";
  private static final String LASTING = "0000000000cb0001";

  @Override
  public boolean play(final Path root, final Recorder recorder, final boolean trouble)
      throws Exception {
    try (Deployment deployment =
        new Deployment(
            root,
            recorder,
            3,
            WORKERS,
            task ->
                task.startsWith(LASTING)
                    ? 0
                    : task.startsWith(GANG) || task.startsWith(FILLER) ? GANG_MILLIS : 300)) {
      deployment.start();
      final Daemon daemon = deployment.daemons.get(0);
      deployment.submit(
          daemon,
          LASTING,
          Deployment.job(Deployment.step(1, HALF_CPU, 1_000).put("LongRunning", true)));
      Deployment.await(5_000, () -> deployment.runs(LASTING).size() == 1, "the lasting task runs");
      final String host = deployment.runs(LASTING).get(0).worker;
      // One task beside the lasting one, and two of the gang on each other worker.
      deployment.submit(daemon, FILLER, Deployment.job(Deployment.step(1, HALF_CPU, 1_000)));
      Deployment.await(5_000, () -> deployment.runs(FILLER).size() == 1, "the filler runs");
      deployment.submit(
          daemon,
          GANG,
          Deployment.job(
              Deployment.step(2 * (WORKERS - 1), HALF_CPU, 1_000)
                  .put("Gang", true)
                  .put("EstimateMs", GANG_MILLIS)));
      Deployment.await(
          5_000, () -> deployment.runs(GANG).size() == 2 * (WORKERS - 1), "the gang runs");
      recorder.say(
          "%s; gang: %s",
          deployment.runs(LASTING), deployment.runs(GANG).stream().map(r -> r.worker).toList());
      Thread.sleep(1_000);
      final Worker lost =
          deployment.workers.stream()
              .filter(worker -> worker.id.equals(host))
              .findFirst()
              .orElseThrow();
      if (trouble) {
        lost.crash();
        deployment.store.delete("servers/" + lost.id);
        recorder.say("%s is lost for good", lost.id);
      }
      Thread.sleep(LATEST_RUN_MILLIS + IDLE_MILLIS);
      final List<Worker.Run> runs = deployment.runs(LASTING);
      final long gang = deployment.runs(GANG).stream().filter(run -> run.how.isEmpty()).count();
      recorder.say("%d tasks of the gang still run; runs of the task that lasts: %s", gang, runs);
      return runs.stream().anyMatch(run -> run.how.isEmpty());
    }
  }
}
