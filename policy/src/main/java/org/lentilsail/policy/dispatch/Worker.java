package org.lentilsail.policy.dispatch;

/** The slots of one worker. */
final class Worker {
  /** Slots of a worker: it runs this many requests concurrently. */
  static final int SLOTS = 8;

  /** Most slots of a worker that long work may start in: 3 of 4. */
  static final int LONG_SLOTS = 6;

  /** VM of the worker. */
  final String vm;

  /** Number of its availability zone. */
  final int zone;

  /** How the fleet document wants it to be used. */
  WorkerMode mode;

  /** Slots that may be used, as mode and health allow. */
  int capacity;

  /** Whether it fails together with most others, so that it stays in use, but as the last. */
  boolean suspect;

  /** Slots in use. */
  int busy;

  /** Slots in use by long work. */
  int longBusy;

  /** Buckets that hold the worker, by kind of index; null where none does. */
  final WorkerBucket[] buckets = new WorkerBucket[WorkerIndex.KINDS];

  /** Positions in the buckets. */
  final int[] positions = new int[WorkerIndex.KINDS];

  Worker(final String vm, final int zone, final WorkerMode mode) {
    this.vm = vm;
    this.zone = zone;
    this.mode = mode;
  }

  boolean hasFreeSlot() {
    return busy < capacity;
  }
}
