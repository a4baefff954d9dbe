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

/** Guards the rules of control against the failure that the first line of each scenario names. */
class ScenarioTest {
  private static final Path FILES = Path.of("src/test/resources/scenarios");

  static Stream<String> files() throws IOException {
    try (Stream<Path> all = Files.list(FILES)) {
      return all.map(path -> path.getFileName().toString()).sorted().toList().stream();
    }
  }

  @ParameterizedTest
  @MethodSource("files")
  void passes(final String file) throws IOException {
    final FleetSimulation world = new FleetSimulation();
    final ScenarioEvents events = new ScenarioEvents(world);
    final List<ScenarioLine> timed = new ArrayList<>();
    final List<String> lines = Files.readAllLines(FILES.resolve(file));
    for (int i = 0; i < lines.size(); i++) {
      final ScenarioLine line = new ScenarioLine(file, i + 1, lines.get(i).strip());
      if (line.text().startsWith("at ") || line.text().startsWith("expect ")) {
        timed.add(line);
      } else if (!line.text().isEmpty() && !line.text().startsWith("#")) {
        events.apply(line);
      }
    }
    world.putAllInService();
    timed.sort(Comparator.comparingLong(ScenarioTest::due));
    for (final ScenarioLine line : timed) {
      run(world, events, line);
    }
  }

  private static long due(final ScenarioLine line) {
    final List<String> words = line.words();
    return line.millis(words.get(0).equals("at") ? line.word(1) : words.get(words.size() - 1));
  }

  private static void run(
      final FleetSimulation world, final ScenarioEvents events, final ScenarioLine line) {
    final boolean expects = line.text().startsWith("expect ");
    final boolean by = expects && line.text().contains(" by ");
    try {
      while (world.now() < due(line) && !(by && holds(world, line))) {
        world.tick();
      }
    } catch (final AssertionError e) {
      throw line.error("at " + world.now() + " ms, before this line: " + e.getMessage());
    }
    if (!expects) {
      final String event = line.text().split("\\s+", 3)[2];
      events.apply(new ScenarioLine(line.file(), line.number(), event));
    } else if (!holds(world, line)) {
      throw line.error("at " + world.now() + " ms not so, but " + actual(world, line));
    }
  }

  /** Evaluates {@code expect vm|wave NAME CONDITION... at|by TIME}. */
  private static boolean holds(final FleetSimulation world, final ScenarioLine line) {
    final List<String> words = line.words().subList(3, line.words().size() - 2);
    final boolean negated = words.get(0).equals("not");
    final String state = words.get(negated ? 1 : 0);
    final String value = words.get(words.size() - 1);
    final boolean result;
    if (line.word(1).equals("wave")) {
      final WaveProgress wave = world.document.waves().get(line.word(2));
      result = wave != null && waveIs(wave, line, state, value);
    } else {
      final VmEntry vm = world.document.vms().get(line.word(2));
      result =
          switch (state) {
            case "in" -> vm.pool().equals(value);
            case "rebooted" -> world.vms.get(vm.vm()).reboots == line.number(value);
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

  private static String actual(final FleetSimulation world, final ScenarioLine line) {
    return line.word(1).equals("wave")
        ? String.valueOf(world.document.waves().get(line.word(2)))
        : String.valueOf(world.document.vms().get(line.word(2)));
  }
}
