package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: what was sent, answered and run, with seconds since the start. */
final class Record implements AutoCloseable {
  private final PrintWriter out;
  private final long startedAt = System.nanoTime();

  Record(final Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Returns the seconds since the start. */
  double now() {
    return (System.nanoTime() - startedAt) / 1e9;
  }

  /** Writes one line. */
  synchronized void line(final String format, final Object... values) {
    out.printf("%8.3f  %s%n", now(), String.format(format, values));
    out.flush();
  }

  @Override
  public void close() {
    out.close();
  }
}
