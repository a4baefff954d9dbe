package org.lentilsail.policy.dispatch;

/** A worker of a service with its slots. */
final class Worker {
  /** Number of requests that a worker runs concurrently. */
  static final int SLOTS = 8;

  /** Maximum number of slots of a worker in which long work may start: three quarters. */
  static final int LONG_SLOTS = 6;

  final String vm;

  /** Index of its availability zone. */
  final int zone;

  /** Mode that the fleet document prescribes. */
  WorkerMode mode;

  /** Usable slots, as mode and health allow. */
  int capacity;

  /** Whether the worker keeps failing. If most workers fail, it stays in use but is chosen last. */
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
