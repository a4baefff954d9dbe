package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Jobs wait for room while answers of the store are lost, and their writes are done late. */
final class LateCount implements Main.Case {
  private static final long LOST_MILLIS = 4_500;
  private static final double LOST_SHARE = 0.35;
  private static final int FEW_JOBS = 8;
  private static final int MANY_JOBS = 45;

  /** Five times the mean of the sheet's slot-hold, 5.65 a second. */
  private static final double TURN_PER_SECOND = 28;

  private static final int ROUNDS = 3;

  private boolean losing;

  @Override
  public boolean play(final Path root, final Recorder recorder, final boolean trouble)
      throws Exception {
    final long seed = Long.getLong("seed", System.nanoTime());
    recorder.say("seed %d", seed);
    final Random random = new Random(seed);
    try (Deployment deployment =
        new Deployment(root, recorder, 3, 2, task -> task.startsWith("00000000000d") ? 0 : 300)) {
      deployment.start();
      // Two tasks that last take all room of the workers.
      deployment.submit(
          deployment.daemons.get(0),
          "00000000000d0001",
          Deployment.job(Deployment.step(2, 64_000, 1_000).put("LongRunning", true)));
      Deployment.await(
          10_000, () -> deployment.runs("00000000000d0001").size() >= 2, "the workers are full");
      deployment.store.lostWrites(
          body -> {
            synchronized (this) {
              return losing && random.nextDouble() < LOST_SHARE
                  ? 1_000 + random.nextInt(5_000)
                  : Store.NO_FAULT;
            }
          });
      final List<String> waiting = new ArrayList<>();
      for (int round = 1; round <= ROUNDS; round++) {
        if (!playRound(deployment, round, waiting, trouble)) {
          return false;
        }
      }
      return true;
    }
  }

  private boolean playRound(
      final Deployment deployment,
      final int round,
      final List<String> waiting,
      final boolean trouble)
      throws Exception {
    final Recorder recorder = deployment.recorder;
    final long begin = recorder.millis();
    lose(trouble);
    for (int i = 0; i < FEW_JOBS; i++) {
      handIn(deployment, round, i, waiting);
      Thread.sleep(Math.max(0, begin + (i + 1) * LOST_MILLIS / FEW_JOBS - recorder.millis()));
    }
    lose(false);
    // Each turn more than doubles the number that waits, so that an old count is under half.
    final int turn = Math.max(MANY_JOBS, waiting.size() + 2 * FEW_JOBS);
    final long turnBegin = recorder.millis();
    for (int i = 0; i < turn; i++) {
      handIn(deployment, round, FEW_JOBS + i, waiting);
      final long due = turnBegin + (long) ((i + 1) * 1000 / TURN_PER_SECOND);
      Thread.sleep(Math.max(0, due - recorder.millis()));
    }
    final int accepted = waiting.size();
    recorder.say("round %d: %d jobs are accepted and wait", round, accepted);
    // Six seconds until the last late write, then three until the machines are in touch.
    Thread.sleep(11_000);
    boolean held = true;
    for (int look = 0; look < 4; look++) {
      for (final Daemon daemon : deployment.daemons) {
        final Callers.Answer answer =
            deployment.callers.call(daemon, "GET", Deployment.QUEUE, null);
        final int count =
            answer.status() == 200
                ? Json.read(answer.body().getBytes()).path("Waiting").asInt()
                : -1;
        if (count >= 0 && count * 2 < accepted - started(deployment, waiting)) {
          recorder.say("%s gives %d as Waiting; %d jobs wait", daemon.name, count, accepted);
          held = false;
        }
      }
      Thread.sleep(500);
    }
    return held;
  }

  private static long started(final Deployment deployment, final List<String> jobs) {
    return jobs.stream().filter(job -> !deployment.runs(job).isEmpty()).count();
  }

  private synchronized void lose(final boolean value) {
    losing = value;
  }

  /** Hands a job in, up to five times. */
  private static void handIn(
      final Deployment deployment, final int round, final int number, final List<String> waiting) {
    final String id = String.format("%016x", 0xe0000L + round * 0x1000L + number);
    for (int attempt = 0; attempt < 5; attempt++) {
      final Daemon daemon = deployment.daemons.get((number + attempt) % deployment.daemons.size());
      if (deployment.submit(daemon, id, Deployment.job(Deployment.step(1, 500, 256))) == 200) {
        waiting.add(id);
        return;
      }
    }
  }
}
