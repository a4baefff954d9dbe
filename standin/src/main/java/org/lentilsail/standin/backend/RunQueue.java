package org.lentilsail.standin.backend;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;

/**
 * Runs at most as many concurrent requests as there are slots; the others wait in order of arrival.
 */
final class RunQueue {
  private final int slots;

  /** Records the start and the end of every run. */
  private final Journal journal;

  /** Requests that wait for a slot, in order of arrival. */
  private final Queue<BackendRequest> waiting = new ArrayDeque<>();

  /** Numbers of the runs that occupy a slot. */
  private final Set<Long> running = new HashSet<>();

  /** Whether new requests are rejected. */
  private boolean draining;

  /** Number of boots, from 1. */
  private long bootGeneration = 1;

  RunQueue(final int slots, final Journal journal) {
    this.slots = slots;
    this.journal = journal;
  }

  /** Accepts a request; returns false while draining. */
  synchronized boolean offer(final BackendRequest request) {
    final boolean accepted = !draining;
    if (accepted) {
      waiting.add(request);
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

  /** Interrupts the active runs for a reboot and drops the waiting requests. */
  synchronized void interruptRuns() {
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

  private void start(final BackendRequest request) {
    final long run = journal.start(request.key(), request.id(), bootGeneration);
    running.add(run);
    request
        .exchange()
        .getIoThread()
        .executeAfter(() -> end(request, run), request.runMillis(), TimeUnit.MILLISECONDS);
  }

  private void end(final BackendRequest request, final long run) {
    if (finish(run, request.failure())) {
      Responses.answer(request);
    } else {
      IoUtils.safeClose(request.exchange().getConnection());
    }
  }

  /** Frees the slot of a run; returns false when a reboot has interrupted the run. */
  private synchronized boolean finish(final long run, final FailureMode failure) {
    final boolean active = running.remove(run);
    if (active && failure != FailureMode.HANG) {
      journal.end(run, RunState.FINISHED);
    }
    startMore();
    return active;
  }
}
