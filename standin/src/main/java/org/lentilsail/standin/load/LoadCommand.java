package org.lentilsail.standin.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.Collectors;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.lentilsail.standin.StandinCommand;
import org.lentilsail.standin.backend.JournalEntry;
import org.lentilsail.standin.backend.JournalView;

/** Subcommand that generates load; exits with 0 only if no outcome contradicts the journals. */
public final class LoadCommand implements StandinCommand {
  /** Exit code when an outcome contradicts the journals. */
  private static final int EXIT_CONTRADICTION = 1;

  private static final double[] PERCENTILES = {50, 90, 99, 99.9, 100};

  private static final ObjectMapper JSON = new ObjectMapper();

  private final OptionParser parser = new OptionParser();

  /** Addresses of entry daemons. */
  private final OptionSpec<String> targets =
      parser.accepts("target", "host:port, repeated").withRequiredArg().required();

  /** Addresses of backend servers. */
  private final OptionSpec<String> backends =
      parser.accepts("backend", "host:port, repeated").withRequiredArg().required();

  private final OptionSpec<String> service = parser.accepts("service").withRequiredArg().required();

  private final OptionSpec<Integer> requests = number("requests", 1_000);

  /** Requests per second. */
  private final OptionSpec<Integer> rate = number("rate", 200);

  /** Share of keyed requests in percent. */
  private final OptionSpec<Integer> keyedPercent = number("keyed-percent", 50);

  /** Share of keyed requests in percent that are sent twice. */
  private final OptionSpec<Integer> repeatPercent = number("repeat-percent", 20);

  private final OptionSpec<Integer> bodyBytes = number("body-bytes", 200);

  /** Run time of a request in ms. */
  private final OptionSpec<Integer> runMillis = number("run-millis", 5);

  /** Timeout of a response in ms. */
  private final OptionSpec<Integer> timeoutMillis = number("timeout-millis", 30_000);

  /** Seed of the random choices. */
  private final OptionSpec<Integer> seed = number("seed", 1);

  private OptionSpec<Integer> number(final String name, final int defaultValue) {
    return parser.accepts(name).withRequiredArg().ofType(Integer.class).defaultsTo(defaultValue);
  }

  @Override
  public String name() {
    return "load";
  }

  @Override
  public int run(final String[] args) throws Exception {
    final OptionSet options = parser.parse(args);
    final LoadSettings settings =
        new LoadSettings(
            addresses(options.valuesOf(targets)),
            addresses(options.valuesOf(backends)),
            options.valueOf(service),
            options.valueOf(requests),
            options.valueOf(rate),
            options.valueOf(keyedPercent),
            options.valueOf(repeatPercent),
            options.valueOf(bodyBytes),
            options.valueOf(runMillis),
            options.valueOf(timeoutMillis));
    final LoadGenerator load = new LoadGenerator(settings, options.valueOf(seed));
    load.run();
    final List<String> faults =
        OutcomeChecker.contradictions(load.attempts(), journals(settings.backends()));
    report(load, faults);
    return faults.isEmpty() ? 0 : EXIT_CONTRADICTION;
  }

  private static void report(final LoadGenerator load, final List<String> faults) {
    System.out.println(
        "outcomes "
            + load.attempts().stream()
                .collect(
                    Collectors.groupingBy(
                        RequestAttempt::outcome, TreeMap::new, Collectors.counting())));
    for (final double percentile : PERCENTILES) {
      System.out.printf(
          "latency p%s %.3f ms%n",
          percentile, LoadGenerator.millis(load.latencies().getValueAtPercentile(percentile)));
    }
    faults.forEach(fault -> System.out.println("fault: " + fault));
    System.out.println(faults.size() + " faults");
  }

  private static List<JournalEntry> journals(final List<InetSocketAddress> backends)
      throws IOException, InterruptedException {
    final List<JournalEntry> result = new ArrayList<>();
    final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    for (final InetSocketAddress backend : backends) {
      final URI uri =
          URI.create(
              "http://" + backend.getHostString() + ":" + backend.getPort() + "/standin/journal");
      final HttpResponse<byte[]> response =
          client.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofByteArray());
      result.addAll(JSON.readValue(response.body(), JournalView.class).entries());
    }
    return result;
  }

  private static List<InetSocketAddress> addresses(final List<String> texts) {
    final List<InetSocketAddress> result = new ArrayList<>();
    for (final String text : texts) {
      final int colon = text.lastIndexOf(':');
      result.add(
          new InetSocketAddress(
              text.substring(0, colon), Integer.parseInt(text.substring(colon + 1))));
    }
    return result;
  }
}
