package org.lentilsail.policy.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** A dispatcher with recorded decisions. Deadlines are relative to the start of the test. */
final class DispatcherFixture implements DispatchListener {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Workers of the granted requests, by request number. */
  final Map<Long, String> granted = new LinkedHashMap<>();

  /** Reasons of the refusals, by request number. */
  final Map<Long, RefusalReason> refused = new LinkedHashMap<>();

  final ServiceDispatcher dispatcher;

  /** Current monotonic time in ns. */
  long nowNanos;

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

  DispatchRequest request(
      final long number,
      final String path,
      final String team,
      final boolean urgent,
      final long deadlineMillis,
      final Set<String> excluded) {
    return new DispatchRequest(
        id(number), "z1", path, team, urgent, 0, deadlineMillis * NANOS_PER_MILLI, excluded);
  }

  void submit(
      final long number,
      final String path,
      final String team,
      final boolean urgent,
      final long deadlineMillis,
      final Set<String> excluded) {
    dispatcher.submit(request(number, path, team, urgent, deadlineMillis, excluded), nowNanos);
  }

  void submitDeclared(final long number, final String path, final long declaredMillis) {
    dispatcher.submit(
        new DispatchRequest(
            id(number), "z1", path, "", false, declaredMillis, 60_000 * NANOS_PER_MILLI, Set.of()),
        nowNanos);
  }

  void submitMany(final int count, final String path) {
    submitRange(1, count, path);
  }

  void submitRange(final int first, final int last, final String path) {
    for (int i = first; i <= last; i++) {
      submit(i, path, "", false, 60_000, Set.of());
    }
  }

  /** Lets the dispatcher learn the run time of a path from 40 requests. */
  void learn(final String path, final long runMillis) {
    for (int i = 0; i < 40; i++) {
      final long number = 10_000 + i;
      submit(number, path, "", false, 60_000, Set.of());
      dispatcher.release(id(number), WorkerResult.OK, runMillis * NANOS_PER_MILLI, nowNanos);
      granted.remove(number);
    }
  }

  void release(final long number) {
    dispatcher.release(id(number), WorkerResult.OK, NANOS_PER_MILLI, nowNanos);
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
