package org.lentilsail.standin.process;

import java.io.File;
import java.io.IOException;
import java.lang.ProcessBuilder.Redirect;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A Java program that runs in a separate process and writes its output to a file. */
public final class ChildProcess implements AutoCloseable {
  /** Time in s allowed for a process to end after SIGTERM. */
  private static final int STOP_SECONDS = 20;

  /** System property with JVM options that replace the default options, for profiling. */
  private static final String OPTIONS_PROPERTY = "lentilsail.childOptions";

  /** System property with a class path that replaces that of this process. */
  private static final String CLASS_PATH_PROPERTY = "lentilsail.childClassPath";

  private final String name;

  private final Path output;

  private final Process process;

  private ChildProcess(final String name, final Path output, final Process process) {
    this.name = name;
    this.output = output;
    this.process = process;
  }

  /**
   * Starts a main class with the class path of this process.
   *
   * @param name name for error messages and for the output file
   * @param directory directory of the output file
   * @param mainClass name of the main class
   * @param heapMegabytes maximum heap size in MB
   * @param args arguments of the program
   * @return the running process
   * @throws IOException when it cannot be started
   */
  public static ChildProcess start(
      final String name,
      final Path directory,
      final String mainClass,
      final int heapMegabytes,
      final List<String> args)
      throws IOException {
    return start(name, directory, mainClass, heapMegabytes, args, Map.of());
  }

  /**
   * Starts a main class with the class path of this process and additional environment variables.
   *
   * @param name name for error messages and for the output file
   * @param directory directory of the output file
   * @param mainClass name of the main class
   * @param heapMegabytes maximum heap size in MB
   * @param args arguments of the program
   * @param environment variables in addition to those of this process
   * @return the running process
   * @throws IOException when it cannot be started
   */
  public static ChildProcess start(
      final String name,
      final Path directory,
      final String mainClass,
      final int heapMegabytes,
      final List<String> args,
      final Map<String, String> environment)
      throws IOException {
    final List<String> command = new ArrayList<>();
    command.add(System.getProperty("java.home") + File.separator + "bin" + File.separator + "java");
    command.add("-Xmx" + heapMegabytes + "m");
    command.addAll(List.of(System.getProperty(OPTIONS_PROPERTY, "-XX:+UseSerialGC").split(" ")));
    command.add("-cp");
    command.add(System.getProperty(CLASS_PATH_PROPERTY, System.getProperty("java.class.path")));
    command.add(mainClass);
    command.addAll(args);
    final Path output = directory.resolve(name + ".out");
    final ProcessBuilder builder =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(Redirect.appendTo(output.toFile()));
    builder.environment().putAll(environment);
    return new ChildProcess(name, output, builder.start());
  }

  /**
   * Returns the process id.
   *
   * @return the id
   */
  public long pid() {
    return process.pid();
  }

  /**
   * Returns whether the process is running.
   *
   * @return false after its end
   */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Kills the process at once, as a failure of its VM would. */
  public void kill() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor();
  }

  /** Suspends the process with SIGSTOP, which it cannot catch, until it is resumed. */
  public void suspend() throws IOException, InterruptedException {
    signal("STOP");
  }

  /** Resumes a suspended process. */
  public void resume() throws IOException, InterruptedException {
    signal("CONT");
  }

  /** Requests the process to reload its settings with SIGHUP, unless it has just terminated. */
  public void reload() throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
  }

  /** Requests the process to stop with SIGTERM, as an operator or the platform would. */
  public void terminate() {
    process.destroy();
  }

  /**
   * Requests the process to stop and waits for its end.
   *
   * @return the exit code
   * @throws InterruptedException when the waiting thread is interrupted
   */
  public int stop() throws InterruptedException {
    terminate();
    return await(STOP_SECONDS);
  }

  /**
   * Waits for the end of the process; a process that does not end is killed.
   *
   * @param seconds longest time to wait in s
   * @return the exit code
   * @throws InterruptedException when the waiting thread is interrupted
   */
  public int await(final int seconds) throws InterruptedException {
    if (!process.waitFor(seconds, TimeUnit.SECONDS)) {
      kill();
      throw new IllegalStateException(
          name + " did not end within " + seconds + " s; its output is in " + output);
    }
    return process.exitValue();
  }

  /**
   * Returns what the process has printed.
   *
   * @return the output
   * @throws IOException when it cannot be read
   */
  public String output() throws IOException {
    return Files.readString(output);
  }

  @Override
  public void close() {
    process.destroyForcibly();
    try {
      process.waitFor();
    } catch (final InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void signal(final String signal) throws IOException, InterruptedException {
    final int exit =
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    if (exit != 0) {
      throw new IllegalStateException("cannot send SIG" + signal + " to " + name);
    }
  }
}
