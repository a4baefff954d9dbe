package review;

/** One run of a task on a worker, as the worker saw it. Guarded by the fleet. */
final class Run {
  final String task;
  final int number;
  final Worker worker;
  final double startedAt;

  /** Time of the end in s, negative while the run goes on. */
  double endedAt = -1;

  /** How the run ended. */
  String how = "";

  /** Number of the end in the list of the worker. */
  long endNumber;

  /** Time in s at which LastSeen reached the end, negative before that. */
  double notedAt = -1;

  /** Whether the lease of the worker lapsed between the end and LastSeen. */
  boolean lapsedBeforeNoted;

  boolean stopping;

  Run(final String task, final int number, final Worker worker, final double startedAt) {
    this.task = task;
    this.number = number;
    this.worker = worker;
    this.startedAt = startedAt;
  }

  boolean isDoneAndNoted() {
    return how.equals("done") && notedAt >= 0 && !lapsedBeforeNoted;
  }

  @Override
  public String toString() {
    return String.format(
        "%s run %d on %s, %.3f s to %s%s",
        task,
        number,
        worker.id(),
        startedAt,
        endedAt < 0 ? "now" : String.format("%.3f s: %s", endedAt, how),
        notedAt < 0 ? "" : String.format(", taken note of at %.3f s", notedAt));
  }
}
