package org.lentilsail.policy.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** A dispatcher whose decisions are recorded; the deadlines are relative to the start. */
final class DispatcherFixture implements DispatchListener {
  /** One millisecond in ns. */
  private static final long MILLI = 1_000_000L;

  /** Workers of the demands that got a slot, by number. */
  final Map<Long, String> granted = new LinkedHashMap<>();

  /** Reasons of the refusals, by number. */
  final Map<Long, RefusalReason> refused = new LinkedHashMap<>();

  /** The dispatcher. */
  final ServiceDispatcher dispatcher;

  /** Monotonic time of the next demand. */
  long now;

  DispatcherFixture(final int workers) {
    dispatcher =
        new ServiceDispatcher(new DispatchSettings(200, 256, Map.of()), new Random(1), this);
    for (int i = 1; i <= workers; i++) {
      dispatcher.putWorker("w" + i, "z" + i, WorkerMode.OPEN, 0);
    }
  }

  void configure(final DispatchSettings settings) {
    dispatcher.configure(settings);
  }

  DispatchRequestId id(final long number) {
    return new DispatchRequestId("d1", number);
  }

  DispatchRequest demand(
      final long number,
      final String path,
      final String team,
      final boolean urgent,
      final long deadlineMillis,
      final Set<String> excluded) {
    return new DispatchRequest(
        id(number), "z1", path, team, urgent, 0, deadlineMillis * MILLI, excluded);
  }

  void submit(
      final long number,
      final String path,
      final String team,
      final boolean urgent,
      final long deadlineMillis,
      final Set<String> excluded) {
    dispatcher.submit(demand(number, path, team, urgent, deadlineMillis, excluded), now);
  }

  void submitDeclared(final long number, final String path, final long declaredMillis) {
    dispatcher.submit(
        new DispatchRequest(
            id(number), "z1", path, "", false, declaredMillis, 60_000 * MILLI, Set.of()),
        now);
  }

  void ask(final int count, final String path) {
    askFrom(1, count, path);
  }

  void askFrom(final int first, final int last, final String path) {
    for (int i = first; i <= last; i++) {
      submit(i, path, "", false, 60_000, Set.of());
    }
  }

  /** Lets the dispatcher learn the run time of a path from 40 requests. */
  void learn(final String path, final long runMillis) {
    for (int i = 0; i < 40; i++) {
      final long number = 10_000 + i;
      submit(number, path, "", false, 60_000, Set.of());
      dispatcher.release(id(number), WorkerResult.OK, runMillis * MILLI, now);
      granted.remove(number);
    }
  }

  void release(final long number) {
    dispatcher.release(id(number), WorkerResult.OK, MILLI, now);
  }

  long startedBetween(final long first, final long last) {
    return granted.keySet().stream().filter(number -> number >= first && number <= last).count();
  }

  @Override
  public void granted(final DispatchRequestId id, final String vm) {
    granted.put(id.number(), vm);
  }

  @Override
  public void refused(final DispatchRequestId id, final RefusalReason reason) {
    refused.put(id.number(), reason);
  }
}
