package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time in ms since the start of the script. */
final class Recorder implements AutoCloseable {
  private final long startedAt = System.nanoTime();
  private final PrintWriter writer;

  Recorder(final Path file) throws IOException {
    writer = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  long millis() {
    return (System.nanoTime() - startedAt) / 1_000_000;
  }

  synchronized void log(final String format, final Object... arguments) {
    writer.println(millis() + " " + String.format(format, arguments));
  }

  /** Writes a line to the record and to standard output. */
  void say(final String format, final Object... arguments) {
    log(format, arguments);
    System.out.println(millis() + " " + String.format(format, arguments));
  }

  @Override
  public synchronized void close() {
    writer.close();
  }
}
