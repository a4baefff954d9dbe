package review2;

import java.io.IOException;
import java.nio.file.Path;

/** Plays one case: {@code Main CASE ROOT RECORD}; exits with 1 if the rule was broken. */
public final class Main {
  private static final int HELD = 0;
  private static final int BROKEN = 1;
  private static final int CANNOT_RUN = 2;

  private Main() {}

  /** A case; returns whether the rule held. */
  interface Case {
    boolean play(Path root, Recorder recorder, boolean trouble) throws Exception;
  }

  /** Plays the case. */
  public static void main(final String[] arguments) throws IOException {
    final boolean trouble = !"0".equals(System.getenv().getOrDefault("TROUBLE", "1"));
    int code = CANNOT_RUN;
    try (Recorder recorder = new Recorder(Path.of(arguments[2]))) {
      try {
        final Case chosen =
            switch (arguments[0]) {
              case "large-job" -> new LargeJob();
              case "many-ends" -> new ManyEnds();
              case "given-up" -> new GivenUp();
              case "full-gang" -> new FullGang();
              case "late-count" -> new LateCount();
              default -> throw new CannotRunException("no case " + arguments[0]);
            };
        code = chosen.play(Path.of(arguments[1]), recorder, trouble) ? HELD : BROKEN;
      } catch (final Exception | Error error) {
        recorder.say("cannot run: %s", error);
      }
      recorder.say("trouble: %s, result: %d", trouble, code);
    }
    System.exit(code);
  }
}
