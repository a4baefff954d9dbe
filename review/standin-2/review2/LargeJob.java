package review2;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;

/** A client hands in a job of legal size with many tasks; ordinary jobs follow. */
final class LargeJob implements Main.Case {
  private static final int STEPS = 10;
  private static final int TASKS = 100_000;
  private static final int ORDINARY_TASKS = 8;
  private static final long FINISH_MILLIS = 14_000;
  private static final long IDLE_MILLIS = 3_000;

  /** A fault of the day: so many ends of processes on so many machines. */
  private static final int OWN_ENDS = 3;

  private static final int MACHINES = 2;
  private static final String LARGE = "00000000000a0001";
  private static final String ORDINARY = "00000000000b0001";

  @Override
  public boolean play(final Path root, final Recorder recorder, final boolean trouble)
      throws Exception {
    try (Deployment deployment = new Deployment(root, recorder, 3, 4, task -> 500)) {
      deployment.start();
      final ObjectNode[] steps = new ObjectNode[STEPS];
      for (int i = 0; i < STEPS; i++) {
        steps[i] = Deployment.step(trouble ? TASKS : ORDINARY_TASKS, 500, 256);
      }
      final ObjectNode large = Deployment.job(steps);
      recorder.say(
          "a job of %d steps in %d bytes: %d",
          STEPS,
          Json.write(large).length,
          deployment.submit(deployment.daemons.get(0), LARGE, large));
      Thread.sleep(2_000);
      final ObjectNode ordinary = Deployment.job(Deployment.step(ORDINARY_TASKS, 500, 256));
      final boolean accepted =
          Deployment.awaitOr(
              10_000,
              () ->
                  deployment.daemons.stream()
                      .anyMatch(daemon -> deployment.submit(daemon, ORDINARY, ordinary) == 200));
      recorder.say("the ordinary job is accepted: %s", accepted);
      Thread.sleep(FINISH_MILLIS);
      final boolean begun =
          Deployment.awaitOr(IDLE_MILLIS, () -> !deployment.runs(ORDINARY).isEmpty());
      int machines = 0;
      for (final Daemon daemon : deployment.daemons) {
        recorder.say("%s has ended by itself %d times", daemon.name, daemon.ownEnds());
        machines += daemon.ownEnds() >= OWN_ENDS ? 1 : 0;
      }
      recorder.say(
          "%d of %d tasks of the ordinary job have started",
          deployment.runs(ORDINARY).size(), ORDINARY_TASKS);
      return machines < MACHINES && (begun || !accepted);
    }
  }
}
