package org.lentilsail.system;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.lentilsail.http.HttpCall;
import org.lentilsail.http.HttpCaller;
import org.lentilsail.http.HttpField;

/**
 * Sends GET requests at a fixed rate, whether or not earlier ones have been answered. Latency
 * counts from the time at which a request was due, so that a stall is not left out.
 */
final class OpenLoopLoad {
  /** Nanoseconds in a second. */
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  /** Longest latency in ns that the histogram holds. */
  private static final long MAX_LATENCY_NANOS = 60 * NANOS_PER_SECOND;

  /** Significant digits of the histogram. */
  private static final int DIGITS = 3;

  /** Time-out of a request. */
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  /** Most bytes of a response body. */
  private static final int RESPONSE_LIMIT = 1 << 20;

  /** Sends the requests. */
  private final HttpCaller client;

  /** Header fields of each request. */
  private final List<HttpField> fields;

  /**
   * Creates a load.
   *
   * @param caller sends the requests
   * @param fields header fields of each request
   */
  OpenLoopLoad(final HttpCaller caller, final List<HttpField> fields) {
    this.client = caller;
    this.fields = List.copyOf(fields);
  }

  /**
   * Runs the load and waits for all responses.
   *
   * @param ports ports of the servers, used in turn
   * @param path path of the requests
   * @param perSecond requests per second
   * @param duration how long requests are sent
   * @return latencies and failures
   * @throws InterruptedException when the waiting thread is interrupted
   */
  LoadResult run(
      final List<Integer> ports, final String path, final int perSecond, final Duration duration)
      throws InterruptedException {
    final Histogram latencies = new ConcurrentHistogram(MAX_LATENCY_NANOS, DIGITS);
    final AtomicInteger failures = new AtomicInteger();
    final int total = (int) (perSecond * duration.toMillis() / 1_000);
    final Semaphore done = new Semaphore(0);
    final long start = System.nanoTime();
    for (int i = 0; i < total; i++) {
      final long due = start + i * NANOS_PER_SECOND / perSecond;
      waitUntil(due);
      client
          .call(call(ports.get(i % ports.size()), path))
          .whenComplete(
              (response, error) -> {
                latencies.recordValue(System.nanoTime() - due);
                if (error != null || response.status() != 200) {
                  failures.incrementAndGet();
                }
                done.release();
              });
    }
    done.acquire(total);
    return new LoadResult(latencies, failures.get());
  }

  private HttpCall call(final int port, final String path) {
    return new HttpCall(
        new InetSocketAddress("127.0.0.1", port),
        "GET",
        path,
        fields,
        new byte[0],
        TIMEOUT,
        RESPONSE_LIMIT);
  }

  private static void waitUntil(final long nanos) {
    long left = nanos - System.nanoTime();
    while (left > 0) {
      LockSupport.parkNanos(left);
      left = nanos - System.nanoTime();
    }
  }
}
