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
 * Open-loop load generator: sends GET requests at a fixed rate, whether or not earlier ones have
 * been answered. Latency is measured from the scheduled send time, so that a stall of the server or
 * of the generator is included (no coordinated omission).
 */
final class OpenLoopLoad {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  /** Highest latency in ns that the histogram records. */
  private static final long MAX_LATENCY_NANOS = 60 * NANOS_PER_SECOND;

  /** Significant decimal digits of the histogram. */
  private static final int SIGNIFICANT_DIGITS = 3;

  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);

  private static final int MAX_RESPONSE_BYTES = 1 << 20;

  private final HttpCaller client;

  private final List<HttpField> fields;

  /**
   * Creates a load generator.
   *
   * @param client HTTP client for the requests
   * @param fields header fields of each request
   */
  OpenLoopLoad(final HttpCaller client, final List<HttpField> fields) {
    this.client = client;
    this.fields = List.copyOf(fields);
  }

  /**
   * Runs the load and waits for all responses.
   *
   * @param ports ports of the servers, used in round-robin order
   * @param path path of the requests
   * @param requestsPerSecond requests per second
   * @param duration time during which requests are sent
   * @return latencies and failures
   * @throws InterruptedException when the waiting thread is interrupted
   */
  LoadResult run(
      final List<Integer> ports,
      final String path,
      final int requestsPerSecond,
      final Duration duration)
      throws InterruptedException {
    final Histogram latencies = new ConcurrentHistogram(MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS);
    final AtomicInteger failures = new AtomicInteger();
    final int total = (int) (requestsPerSecond * duration.toMillis() / 1_000);
    final Semaphore completed = new Semaphore(0);
    final long start = System.nanoTime();
    for (int i = 0; i < total; i++) {
      final long dueNanos = start + i * NANOS_PER_SECOND / requestsPerSecond;
      waitUntil(dueNanos);
      client
          .call(call(ports.get(i % ports.size()), path))
          .whenComplete(
              (response, error) -> {
                latencies.recordValue(System.nanoTime() - dueNanos);
                if (error != null || response.status() != 200) {
                  failures.incrementAndGet();
                }
                completed.release();
              });
    }
    completed.acquire(total);
    return new LoadResult(latencies, failures.get());
  }

  private HttpCall call(final int port, final String path) {
    return new HttpCall(
        new InetSocketAddress("127.0.0.1", port),
        "GET",
        path,
        fields,
        new byte[0],
        REQUEST_TIMEOUT,
        MAX_RESPONSE_BYTES);
  }

  private static void waitUntil(final long nanos) {
    long remainingNanos = nanos - System.nanoTime();
    while (remainingNanos > 0) {
      LockSupport.parkNanos(remainingNanos);
      remainingNanos = nanos - System.nanoTime();
    }
  }
}
