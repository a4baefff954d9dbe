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

/** Answers watches when there are changes or when their time is up; thread-safe. */
final class WatchHub {
  /** The values. */
  private final KeyValueStore store;

  /** Faults in force. */
  private final FaultTable faults;

  /** Clock of the waits. */
  private final TimeSource time;

  /** Watches that wait. */
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

  /** Answers the watches that have changes or are over, and closes those of a client cut off. */
  synchronized void wake() {
    final long now = time.nanos();
    for (final Iterator<WaitingWatch> all = waiting.iterator(); all.hasNext(); ) {
      final WaitingWatch watch = all.next();
      if (faults.of(watch.client()).mode() == FaultMode.DOWN) {
        IoUtils.safeClose(watch.exchange().getConnection());
        all.remove();
      } else if (answer(watch, now)) {
        all.remove();
      }
    }
  }

  private boolean answer(final WaitingWatch watch, final long now) {
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
