package org.lentilsail.model.time;

/** Reads the system clocks. */
final class SystemTime implements TimeSource {
  @Override
  public long wallMillis() {
    return System.currentTimeMillis();
  }

  @Override
  public long nanos() {
    return System.nanoTime();
  }
}
