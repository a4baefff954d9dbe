package org.lentilsail.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.lentilsail.http.HttpCaller;
import org.lentilsail.http.UndertowHttpCaller;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.json.NearestName;
import org.lentilsail.model.settings.HostPort;
import org.lentilsail.model.time.TimeSource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Parses the command line and runs a command. */
final class CommandLine {
  private final PrintStream out;

  private final PrintStream err;

  /** Generates write IDs. */
  private final Supplier<String> writeIds;

  /** Value of the option {@code --server} when it is not given. */
  private final Optional<String> defaultServers;

  CommandLine(
      final PrintStream out,
      final PrintStream err,
      final Supplier<String> writeIds,
      final Optional<String> defaultServers) {
    this.out = out;
    this.err = err;
    this.writeIds = writeIds;
    this.defaultServers = defaultServers;
  }

  /** Runs a command line and returns its exit code. */
  int run(final String... args) {
    int exit = 0;
    try {
      if (args.length == 0 || "--help".equals(args[0])) {
        out.println(Help.overview());
      } else {
        exit = run(find(args[0]), Arrays.copyOfRange(args, 1, args.length));
      }
    } catch (final LentilsailException error) {
      err.println(HumanText.of(error));
      exit = error.code().exitCode();
    }
    return exit;
  }

  private int run(final Command command, final String... args) {
    final OptionParser parser = parser(command);
    int exit = 0;
    try {
      final OptionSet options = parser.parse(args);
      if (options.has("help")) {
        out.println(Help.of(command, parser));
      } else {
        exit = run(command, options);
      }
    } catch (final OptionException error) {
      throw new LentilsailException(
          ErrorCode.INVALID_INPUT,
          error.getMessage(),
          "see lentilsail " + command.name() + " --help",
          error);
    }
    return exit;
  }

  private int run(final Command command, final OptionSet options) {
    final String output = String.valueOf(options.valueOf("output"));
    if (!List.of("human", "json").contains(output)) {
      throw new LentilsailException(
          ErrorCode.INVALID_INPUT, "--output is " + output, "write human or json");
    }
    final XnioWorker worker = worker();
    int exit = 0;
    try (HttpCaller httpClient = new UndertowHttpCaller(worker, TimeSource.system())) {
      final Invocation invocation =
          new Invocation(
              options,
              new AdminClient(httpClient, command.callsDaemons() ? servers(options) : List.of()),
              out,
              err,
              writeIds);
      try {
        command.run(invocation);
      } catch (final ReportedException error) {
        exit = error.code().exitCode();
      } catch (final LentilsailException error) {
        invocation.printError(error);
        exit = error.code().exitCode();
      }
    } finally {
      worker.shutdownNow();
    }
    return exit;
  }

  private static OptionParser parser(final Command command) {
    final OptionParser parser = new OptionParser();
    parser.recognizeAlternativeLongOptions(false);
    parser
        .accepts(
            "server", "admin addresses of daemons; the next one is tried when one does not respond")
        .withRequiredArg()
        .describedAs("host:port,...");
    parser.accepts("output", "human or json").withRequiredArg().defaultsTo("human");
    parser.accepts("help", "show this text");
    command.declare(parser);
    return parser;
  }

  private List<HostPort> servers(final OptionSet options) {
    final String text =
        options.has("server")
            ? String.valueOf(options.valueOf("server"))
            : defaultServers.orElseThrow(
                () ->
                    new LentilsailException(
                        ErrorCode.INVALID_INPUT,
                        "no daemon address is given",
                        "use --server host:port or set LENTILSAIL_SERVER"));
    final List<HostPort> servers = new ArrayList<>();
    for (final String part : text.split(",", -1)) {
      servers.add(
          HostPort.parse(part)
              .filter(server -> server.port() > 0)
              .orElseThrow(
                  () ->
                      new LentilsailException(
                          ErrorCode.INVALID_INPUT,
                          "\"" + part + "\" is not a daemon address",
                          "write host:port[,host:port...]")));
    }
    return servers;
  }

  private static Command find(final String name) {
    return Commands.ALL.stream()
        .filter(command -> command.name().equals(name))
        .findFirst()
        .orElseThrow(
            () ->
                new LentilsailException(
                    ErrorCode.INVALID_INPUT,
                    "there is no command " + name,
                    "did you mean "
                        + NearestName.of(name, Commands.ALL.stream().map(Command::name).toList())
                            .orElse("--help")
                        + "? see lentilsail --help"));
  }

  private static XnioWorker worker() {
    try {
      return Xnio.getInstance()
          .createWorker(
              OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.THREAD_DAEMON, true));
    } catch (final IOException error) {
      throw new LentilsailException(
          ErrorCode.INTERNAL, "cannot start the network threads: " + error, "free memory", error);
    }
  }
}
