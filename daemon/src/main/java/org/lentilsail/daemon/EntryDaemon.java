package org.lentilsail.daemon;

import java.nio.file.Path;
import java.util.logging.Level;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.settings.EntrySettings;
import org.lentilsail.model.settings.SettingsLoader;
import org.tinylog.Logger;

/** Main class of the entry daemon: reads the settings and runs until SIGTERM. */
public final class EntryDaemon {
  /** Exit code for an invalid command line. */
  private static final int EXIT_USAGE = 2;

  /** Exit code when the daemon cannot start. */
  private static final int EXIT_START = 1;

  /**
   * Logger of the network library; strongly referenced, because a logger that is garbage-collected
   * loses its level.
   */
  private static final java.util.logging.Logger NETWORK_LOGGER =
      java.util.logging.Logger.getLogger("org.xnio");

  private EntryDaemon() {}

  /**
   * Runs the daemon.
   *
   * @param args the command line: {@code --settings FILE}, and {@code --check} to only validate the
   *     settings
   */
  public static void main(final String[] args) {
    NETWORK_LOGGER.setLevel(Level.WARNING);
    final OptionParser parser = new OptionParser();
    final OptionSpec<String> file =
        parser.accepts("settings", "settings file").withRequiredArg().required();
    parser.accepts("check", "read the settings, report faults, and exit");
    try {
      final OptionSet options = parser.parse(args);
      final EntrySettings settings = SettingsLoader.load(Path.of(options.valueOf(file)));
      if (!options.has("check")) {
        run(settings);
      }
    } catch (final OptionException error) {
      System.err.println(error.getMessage() + "; use --settings FILE [--check]");
      System.exit(EXIT_USAGE);
    } catch (final LentilsailException error) {
      System.err.println(error.code().text() + ": " + error.getMessage());
      System.err.println("remedy: " + error.remedy());
      System.exit(error.code().exitCode());
    } catch (final Exception error) {
      Logger.error(error, "daemon: cannot start");
      System.exit(EXIT_START);
    }
  }

  private static void run(final EntrySettings settings) throws Exception {
    final Daemon daemon = Daemon.start(settings);
    final Thread stop =
        new Thread(
            () -> {
              daemon.stop();
              // Without the halt, the JVM would exit with status 143 after a graceful stop by
              // SIGTERM.
              Runtime.getRuntime().halt(0);
            },
            "stop");
    Runtime.getRuntime().addShutdownHook(stop);
  }
}
