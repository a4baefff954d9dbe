package org.lentilsail.standin.backend;

import java.util.List;

/**
 * Contents of a journal.
 *
 * @param started number of runs that started
 * @param finished number of runs that finished
 * @param cut number of runs that a reboot interrupted
 * @param entries the runs in order of their start
 */
public record JournalView(long started, long finished, long cut, List<JournalEntry> entries) {
  /** Copies the list, so that the view is immutable. */
  public JournalView {
    entries = List.copyOf(entries);
  }
}
