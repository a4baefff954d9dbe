package org.lentilsail.standin.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.lentilsail.model.time.TimeSource;
import org.lentilsail.platform.KeyChange;
import org.lentilsail.platform.WatchResult;
import org.xnio.IoUtils;

/** Holds watches until there are changes or until their wait is over. Thread-safe. */
final class WatchHub {
  private final KeyValueStore store;

  private final FaultTable faults;

  private final TimeSource time;

  private final List<WaitingWatch> waiting = new ArrayList<>();

  WatchHub(final KeyValueStore store, final FaultTable faults, final TimeSource time) {
    this.store = store;
    this.faults = faults;
    this.time = time;
  }

  synchronized void add(final WaitingWatch watch) {
    waiting.add(watch);
    wake();
  }

  /**
   * Responds to watches that have changes or whose wait is over, and closes the connections of
   * clients with a fault of mode {@link FaultMode#DOWN}.
   */
  synchronized void wake() {
    final long now = time.nanos();
    for (final Iterator<WaitingWatch> all = waiting.iterator(); all.hasNext(); ) {
      final WaitingWatch watch = all.next();
      if (faults.of(watch.client()).mode() == FaultMode.DOWN) {
        IoUtils.safeClose(watch.exchange().getConnection());
        all.remove();
      } else if (respondIfDue(watch, now)) {
        all.remove();
      }
    }
  }

  private boolean respondIfDue(final WaitingWatch watch, final long now) {
    final WatchResult result = store.changes(watch.prefix(), watch.after());
    final boolean due =
        !result.complete() || !result.changes().isEmpty() || now - watch.deadlineNanos() >= 0;
    if (due) {
      Replies.send(watch.exchange(), 200, json(result));
    }
    return due;
  }

  private static ObjectNode json(final WatchResult result) {
    final ObjectNode json = Replies.object();
    json.put("revision", result.revision()).put("complete", result.complete());
    final ArrayNode changes = json.putArray("changes");
    for (final KeyChange change : result.changes()) {
      final ObjectNode entry = changes.addObject().put("key", change.key());
      entry.put("revision", change.revision());
      change.value().ifPresentOrElse(v -> entry.set("value", v), () -> entry.put("deleted", true));
    }
    return json;
  }
}
