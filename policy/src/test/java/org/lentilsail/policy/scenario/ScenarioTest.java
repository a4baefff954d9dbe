package org.lentilsail.policy.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lentilsail.model.fleet.VmEntry;
import org.lentilsail.model.fleet.WaveProgress;

/** Runs the scenarios; the first line of each file names the failure that it guards against. */
class ScenarioTest {
  private static final Path DIRECTORY = Path.of("src/test/resources/scenarios");

  static Stream<String> files() throws IOException {
    try (Stream<Path> all = Files.list(DIRECTORY)) {
      return all.map(path -> path.getFileName().toString()).sorted().toList().stream();
    }
  }

  @ParameterizedTest
  @MethodSource("files")
  void passes(final String file) throws IOException {
    final FleetSimulation simulation = new FleetSimulation();
    final ScenarioEvents events = new ScenarioEvents(simulation);
    final List<ScenarioLine> timed = new ArrayList<>();
    final List<String> lines = Files.readAllLines(DIRECTORY.resolve(file));
    for (int i = 0; i < lines.size(); i++) {
      final ScenarioLine line = new ScenarioLine(file, i + 1, lines.get(i).strip());
      if (line.text().startsWith("at ") || line.text().startsWith("expect ")) {
        timed.add(line);
      } else if (!line.text().isEmpty() && !line.text().startsWith("#")) {
        events.apply(line);
      }
    }
    simulation.putAllInService();
    timed.sort(Comparator.comparingLong(ScenarioTest::due));
    for (final ScenarioLine line : timed) {
      run(simulation, events, line);
    }
  }

  private static long due(final ScenarioLine line) {
    final List<String> words = line.words();
    return line.millis(words.get(0).equals("at") ? line.word(1) : words.get(words.size() - 1));
  }

  private static void run(
      final FleetSimulation simulation, final ScenarioEvents events, final ScenarioLine line) {
    final boolean expects = line.text().startsWith("expect ");
    final boolean beforeDeadline = expects && line.text().contains(" by ");
    try {
      while (simulation.now() < due(line) && !(beforeDeadline && holds(simulation, line))) {
        simulation.tick();
      }
    } catch (final AssertionError e) {
      throw line.error("at " + simulation.now() + " ms, before this line: " + e.getMessage());
    }
    if (!expects) {
      final String event = line.text().split("\\s+", 3)[2];
      events.apply(new ScenarioLine(line.file(), line.number(), event));
    } else if (!holds(simulation, line)) {
      throw line.error(
          "at "
              + simulation.now()
              + " ms the expectation is not met; the state is "
              + actual(simulation, line));
    }
  }

  /** Evaluates {@code expect vm|wave NAME CONDITION... at|by TIME}. */
  private static boolean holds(final FleetSimulation simulation, final ScenarioLine line) {
    final List<String> words = line.words().subList(3, line.words().size() - 2);
    final boolean negated = words.get(0).equals("not");
    final String state = words.get(negated ? 1 : 0);
    final String value = words.get(words.size() - 1);
    final boolean result;
    if (line.word(1).equals("wave")) {
      final WaveProgress wave = simulation.document.waves().get(line.word(2));
      result = wave != null && waveIs(wave, line, state, value);
    } else {
      final VmEntry vm = simulation.document.vms().get(line.word(2));
      result =
          switch (state) {
            case "in" -> vm.pool().equals(value);
            case "rebooted" -> simulation.vms.get(vm.vm()).reboots == line.number(value);
            default -> vm.phase().name().toLowerCase(Locale.ROOT).equals(state);
          };
    }
    return result != negated;
  }

  private static boolean waveIs(
      final WaveProgress wave, final ScenarioLine line, final String state, final String value) {
    return switch (state) {
      case "finished" -> wave.finishedMillis() > 0;
      case "halted" -> wave.halted();
      case "done" -> wave.done().size() == line.number(value);
      default -> throw line.error("unknown state of a wave '" + state + "'");
    };
  }

  private static String actual(final FleetSimulation simulation, final ScenarioLine line) {
    return line.word(1).equals("wave")
        ? String.valueOf(simulation.document.waves().get(line.word(2)))
        : String.valueOf(simulation.document.vms().get(line.word(2)));
  }
}
