package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Callers give a job up and cancel it, while answers of the store are lost. */
final class GivenUp implements Main.Case {
  private static final long LOST_MILLIS = 4_500;
  private static final double LOST_SHARE = 0.35;
  private static final int MIN_LATE_MILLIS = 1_000;
  private static final int MAX_LATE_MILLIS = 6_000;
  private static final int JOBS = 40;

  /** One caller of four gives its job up. */
  private static final int GIVEN_UP_OF = 4;

  private static final int ATTEMPTS = 5;
  private static final long CANCEL_MILLIS = 3_000;
  private static final long STOP_MILLIS = 400;
  private static final long CONTACT_MILLIS = 3_000;

  private boolean losing;

  @Override
  public boolean play(final Path root, final Recorder recorder, final boolean trouble)
      throws Exception {
    final long seed = Long.getLong("seed", System.nanoTime());
    recorder.say("seed %d", seed);
    final Random random = new Random(seed);
    try (Deployment deployment =
        new Deployment(root, recorder, 3, 2, task -> task.startsWith("0000000000aa") ? 0 : 300)) {
      deployment.start();
      deployment.store.lostWrites(
          body -> {
            synchronized (this) {
              return losing && random.nextDouble() < LOST_SHARE
                  ? MIN_LATE_MILLIS + random.nextInt(MAX_LATE_MILLIS - MIN_LATE_MILLIS)
                  : Store.NO_FAULT;
            }
          });
      lose(trouble);
      final Set<String> cancelled = ConcurrentHashMap.newKeySet();
      final List<Thread> callers = new ArrayList<>();
      for (int i = 0; i < JOBS; i++) {
        final int number = i;
        final Thread caller = new Thread(() -> play(deployment, number, cancelled));
        caller.start();
        callers.add(caller);
        Thread.sleep(LOST_MILLIS / JOBS);
      }
      lose(false);
      for (final Thread caller : callers) {
        caller.join();
      }
      recorder.say(
          "%d of %d jobs were cancelled, the last one now or before", cancelled.size(), JOBS);
      Thread.sleep(MAX_LATE_MILLIS + CONTACT_MILLIS + CANCEL_MILLIS + STOP_MILLIS);
      boolean held = true;
      for (final String job : cancelled) {
        for (final Worker.Run run : deployment.runs(job)) {
          if (run.how.isEmpty()) {
            held = false;
            recorder.say(
                "cancelled and still running: %s; its state: %s",
                run, deployment.state(deployment.daemons.get(0), job));
          }
        }
      }
      return held;
    }
  }

  private synchronized void lose(final boolean value) {
    losing = value;
  }

  /** Hands a job in; a caller that gives up cancels after the first answer, others ask again. */
  private static void play(
      final Deployment deployment, final int number, final Set<String> cancelled) {
    final String id = String.format("0000000000aa%04x", number);
    final var job = Deployment.job(Deployment.step(1, 500, 256).put("LongRunning", true));
    final boolean givesUp = number % GIVEN_UP_OF == 0;
    for (int attempt = 0; attempt < (givesUp ? 1 : ATTEMPTS); attempt++) {
      if (deployment.submit(daemon(deployment, number + attempt), id, job) == 200) {
        break;
      }
    }
    for (int attempt = 0; givesUp && attempt < ATTEMPTS; attempt++) {
      final Daemon other = daemon(deployment, number + 1 + attempt);
      final int status =
          deployment.callers.call(other, "DELETE", Deployment.QUEUE + id, null).status();
      if (status == 200 || status == 410) {
        cancelled.add(id);
        return;
      }
    }
  }

  private static Daemon daemon(final Deployment deployment, final int number) {
    return deployment.daemons.get(number % deployment.daemons.size());
  }
}
