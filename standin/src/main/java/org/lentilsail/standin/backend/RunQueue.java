package org.lentilsail.standin.backend;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;

/**
 * Runs at most as many requests at once as there are slots; the others wait in order of arrival.
 */
final class RunQueue {
  /** Most requests that run at once. */
  private final int slots;

  /** Receives every start and end. */
  private final Journal journal;

  /** Requests that wait for a slot. */
  private final Queue<BackendRequest> waiting = new ArrayDeque<>();

  /** Numbers of the runs that hold a slot. */
  private final Set<Long> running = new HashSet<>();

  /** Whether new requests are refused. */
  private boolean draining;

  /** Number of boots. */
  private long bootGeneration = 1;

  RunQueue(final int slots, final Journal journal) {
    this.slots = slots;
    this.journal = journal;
  }

  /** Accepts a request; returns false while draining. */
  synchronized boolean offer(final BackendRequest work) {
    final boolean accepted = !draining;
    if (accepted) {
      waiting.add(work);
      startMore();
    }
    return accepted;
  }

  synchronized void drain(final boolean value) {
    draining = value;
  }

  synchronized BackendStatus status() {
    return new BackendStatus(running.size() + waiting.size(), draining, bootGeneration);
  }

  /** Cuts what runs and forgets what waits. */
  synchronized void cut() {
    draining = true;
    running.forEach(run -> journal.end(run, RunState.CUT));
    running.clear();
    waiting.clear();
  }

  synchronized void boot() {
    bootGeneration++;
    draining = false;
  }

  private void startMore() {
    while (running.size() < slots && !waiting.isEmpty()) {
      start(waiting.remove());
    }
  }

  private void start(final BackendRequest work) {
    final long run = journal.start(work.key(), work.id(), bootGeneration);
    running.add(run);
    work.exchange()
        .getIoThread()
        .executeAfter(() -> end(work, run), work.runMillis(), TimeUnit.MILLISECONDS);
  }

  private void end(final BackendRequest work, final long run) {
    if (finish(run, work.failure())) {
      Responses.answer(work);
    } else {
      IoUtils.safeClose(work.exchange().getConnection());
    }
  }

  /** Frees the slot of a run; returns false when a reboot has cut the run. */
  private synchronized boolean finish(final long run, final FailureMode failure) {
    final boolean held = running.remove(run);
    if (held && failure != FailureMode.HANG) {
      journal.end(run, RunState.FINISHED);
    }
    startMore();
    return held;
  }
}
