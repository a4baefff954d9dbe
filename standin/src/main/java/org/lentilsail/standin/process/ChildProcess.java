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

/** A Java program that runs as a process of its own and writes its output to a file. */
public final class ChildProcess implements AutoCloseable {
  /** Time in s that a process gets to end after SIGTERM. */
  private static final int STOP_SECONDS = 20;

  /** System property with further options of the runtime, for profiling. */
  private static final String OPTIONS_PROPERTY = "lentilsail.childOptions";

  /** Name for messages. */
  private final String name;

  /** File that receives the output. */
  private final Path output;

  /** The process. */
  private final Process process;

  private ChildProcess(final String name, final Path output, final Process process) {
    this.name = name;
    this.output = output;
    this.process = process;
  }

  /**
   * Starts a main class with the class path of this process.
   *
   * @param name name for messages and for the output file
   * @param directory directory of the output file
   * @param mainClass name of the main class
   * @param heapMegabytes largest heap in MB
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
   * Starts a main class with the class path of this process and further environment variables.
   *
   * @param name name for messages and for the output file
   * @param directory directory of the output file
   * @param mainClass name of the main class
   * @param heapMegabytes largest heap in MB
   * @param args arguments of the program
   * @param environment variables beside those of this process
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
    command.add(System.getProperty("java.class.path"));
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
   * Tells whether the process runs.
   *
   * @return false after its end
   */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Ends the process at once, as a failure of its VM would. */
  public void kill() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor();
  }

  /** Stops the process without its noticing, until it is resumed. */
  public void freeze() throws IOException, InterruptedException {
    signal("STOP");
  }

  /** Lets a frozen process go on. */
  public void resume() throws IOException, InterruptedException {
    signal("CONT");
  }

  /** Asks the process to stop, as an operator or the platform would. */
  public void terminate() {
    process.destroy();
  }

  /**
   * Asks the process to stop and waits for its end.
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
   * @param seconds longest wait in s
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
