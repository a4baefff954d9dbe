package org.lentilsail.standin.platform;

import java.io.File;
import java.io.IOException;
import joptsimple.OptionParser;
import joptsimple.OptionSpec;
import org.lentilsail.standin.StandinCommand;

/** Subcommand that runs the platform stand-in until the process is terminated. */
public final class PlatformCommand implements StandinCommand {
  @Override
  public String name() {
    return "platform";
  }

  @Override
  public int run(final String[] args) throws IOException, InterruptedException {
    final OptionParser parser = new OptionParser();
    final OptionSpec<File> file =
        parser.accepts("settings").withRequiredArg().ofType(File.class).required();
    try (PlatformServer server =
        new PlatformServer(PlatformSettings.read(parser.parse(args).valueOf(file)))) {
      System.out.println("listening on " + server.address().getPort());
      Thread.currentThread().join();
    }
    return 0;
  }
}
