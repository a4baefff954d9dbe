package org.lentilsail.standin.backend;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.lentilsail.standin.StandinCommand;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Subcommand that runs backend servers until the process is terminated. */
public final class BackendCommand implements StandinCommand {
  private final OptionParser parser = new OptionParser();

  /** Addresses at which the servers listen. */
  private final OptionSpec<String> addresses =
      parser
          .accepts("address", "host:port, repeated for several servers")
          .withRequiredArg()
          .required();

  /** Maximum number of concurrent requests. */
  private final OptionSpec<Integer> slots =
      parser.accepts("slots").withRequiredArg().ofType(Integer.class).defaultsTo(8);

  /** Maximum number of open connections. */
  private final OptionSpec<Integer> connections =
      parser.accepts("connections").withRequiredArg().ofType(Integer.class).defaultsTo(64);

  /** Default run time of a request in ms. */
  private final OptionSpec<Long> runMillis =
      parser.accepts("run-millis").withRequiredArg().ofType(Long.class).defaultsTo(10L);

  /** Duration of a reboot in ms. */
  private final OptionSpec<Long> rebootMillis =
      parser.accepts("reboot-millis").withRequiredArg().ofType(Long.class).defaultsTo(1_000L);

  /** Number of I/O threads. */
  private final OptionSpec<Integer> threads =
      parser.accepts("io-threads").withRequiredArg().ofType(Integer.class).defaultsTo(2);

  @Override
  public String name() {
    return "backend";
  }

  @Override
  public int run(final String[] args) throws Exception {
    final OptionSet options = parser.parse(args);
    final BackendSettings settings =
        new BackendSettings(
            options.valueOf(slots),
            options.valueOf(connections),
            options.valueOf(runMillis),
            options.valueOf(rebootMillis));
    final XnioWorker worker =
        Xnio.getInstance()
            .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, options.valueOf(threads)));
    final List<String> started = new ArrayList<>();
    for (final String address : options.valuesOf(addresses)) {
      started.add(BackendServer.start(worker, parse(address), settings).address().toString());
    }
    System.out.println("backend servers listen on " + String.join(", ", started));
    new CountDownLatch(1).await();
    return 0;
  }

  private static InetSocketAddress parse(final String address) {
    final int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }
}
