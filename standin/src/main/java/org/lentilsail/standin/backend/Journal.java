package org.lentilsail.standin.backend;

import java.util.ArrayList;
import java.util.List;

/** Records all runs; it survives reboots, so that it can prove how often a request ran. */
final class Journal {
  /** All runs; the number of a run is its index. */
  private final List<JournalEntry> entries = new ArrayList<>();

  synchronized long start(final String key, final String id, final long bootGeneration) {
    final long run = entries.size();
    entries.add(new JournalEntry(run, key, id, bootGeneration, RunState.RUNNING));
    return run;
  }

  /** Ends a run; has no effect on a run that a reboot has interrupted. */
  synchronized void end(final long run, final RunState state) {
    final JournalEntry entry = entries.get((int) run);
    if (entry.state() == RunState.RUNNING) {
      entries.set(
          (int) run, new JournalEntry(run, entry.key(), entry.id(), entry.bootGeneration(), state));
    }
  }

  synchronized JournalView view() {
    return new JournalView(
        entries.size(), count(RunState.FINISHED), count(RunState.CUT), List.copyOf(entries));
  }

  private long count(final RunState state) {
    return entries.stream().filter(entry -> entry.state() == state).count();
  }
}
