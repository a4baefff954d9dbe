package org.lentilsail;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Delayed;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.lentilsail.model.time.ManualTimeSource;

/** Runs scheduled tasks on the caller's thread while a test advances a manual clock. */
public final class ManualExecutor extends AbstractExecutorService
    implements ScheduledExecutorService {
  private final ManualTimeSource time;
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(
          Comparator.<Task>comparingLong(task -> task.dueNanos).thenComparing(task -> task.order));
  private boolean paused;
  private boolean running;
  private long sequence;

  /** Creates an executor on a manual clock. */
  public ManualExecutor(final ManualTimeSource time) {
    this.time = time;
  }

  /** Advances the clock from task to task and runs the tasks that become due. */
  public void advance(final Duration step) {
    final long end = time.nanos() + step.toNanos();
    runDue();
    while (time.nanos() < end) {
      final long next = tasks.isEmpty() ? Long.MAX_VALUE : tasks.peek().dueNanos;
      time.advance(Duration.ofNanos(Math.min(end, Math.max(next, time.nanos())) - time.nanos()));
      runDue();
    }
  }

  /** Suspends the execution of tasks, like a busy or paused thread. */
  public void pause() {
    paused = true;
  }

  /** Resumes the execution of tasks. */
  public void resume() {
    paused = false;
    runDue();
  }

  @Override
  public void execute(final Runnable command) {
    add(command, 0, 0);
    if (!running) {
      runDue();
    }
  }

  @Override
  public ScheduledFuture<?> schedule(
      final Runnable command, final long delay, final TimeUnit unit) {
    return add(command, unit.toNanos(delay), 0);
  }

  @Override
  public <V> ScheduledFuture<V> schedule(
      final Callable<V> callable, final long delay, final TimeUnit unit) {
    schedule(
        (Runnable)
            () -> {
              try {
                callable.call();
              } catch (final Exception error) {
                throw new IllegalStateException(error);
              }
            },
        delay,
        unit);
    return null;
  }

  @Override
  public ScheduledFuture<?> scheduleAtFixedRate(
      final Runnable command, final long initial, final long period, final TimeUnit unit) {
    return add(command, unit.toNanos(initial), unit.toNanos(period));
  }

  @Override
  public ScheduledFuture<?> scheduleWithFixedDelay(
      final Runnable command, final long initial, final long delay, final TimeUnit unit) {
    return add(command, unit.toNanos(initial), unit.toNanos(delay));
  }

  @Override
  public void shutdown() {
    tasks.clear();
  }

  @Override
  public List<Runnable> shutdownNow() {
    tasks.clear();
    return List.of();
  }

  @Override
  public boolean isShutdown() {
    return false;
  }

  @Override
  public boolean isTerminated() {
    return false;
  }

  @Override
  public boolean awaitTermination(final long timeout, final TimeUnit unit) {
    return true;
  }

  private Task add(final Runnable command, final long delayNanos, final long periodNanos) {
    final Task task = new Task(command, time.nanos() + delayNanos, periodNanos, sequence++);
    tasks.add(task);
    return task;
  }

  private void runDue() {
    if (paused || running) {
      return;
    }
    running = true;
    try {
      Task next = nextDue();
      while (next != null) {
        tasks.remove(next);
        next.command.run();
        if (next.periodNanos > 0 && !next.isCancelled()) {
          next.dueNanos = time.nanos() + next.periodNanos;
          tasks.add(next);
        }
        next = nextDue();
      }
    } finally {
      running = false;
    }
  }

  private Task nextDue() {
    return tasks.isEmpty() || tasks.peek().dueNanos > time.nanos() ? null : tasks.peek();
  }

  /** A scheduled task. */
  private final class Task extends CompletableFuture<Object> implements ScheduledFuture<Object> {
    private final Runnable command;
    private final long periodNanos;
    private final long order;
    private long dueNanos;

    Task(final Runnable command, final long dueNanos, final long periodNanos, final long order) {
      this.command = command;
      this.dueNanos = dueNanos;
      this.periodNanos = periodNanos;
      this.order = order;
    }

    @Override
    public boolean cancel(final boolean interrupt) {
      tasks.remove(this);
      return super.cancel(interrupt);
    }

    @Override
    public long getDelay(final TimeUnit unit) {
      return unit.convert(dueNanos - time.nanos(), TimeUnit.NANOSECONDS);
    }

    @Override
    public int compareTo(final Delayed other) {
      return Long.compare(getDelay(TimeUnit.NANOSECONDS), other.getDelay(TimeUnit.NANOSECONDS));
    }
  }
}
