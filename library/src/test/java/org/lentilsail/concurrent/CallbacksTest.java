package org.lentilsail.concurrent;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against an unexpected error that silently ends periodic work or hides other elements. */
class CallbacksTest {
  private static final int RUNS = 3;

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void periodicTaskContinuesAfterError(final boolean stackOverflow) throws InterruptedException {
    final AtomicInteger runs = new AtomicInteger();
    final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
    try {
      executor.scheduleWithFixedDelay(
          Callbacks.loggedTask(
              "test",
              () -> {
                if (runs.incrementAndGet() < RUNS) {
                  fail(stackOverflow);
                }
                executor.shutdown();
              }),
          0,
          1,
          TimeUnit.MILLISECONDS);
      assertThat(executor.awaitTermination(10, TimeUnit.SECONDS), is(true));
    } finally {
      executor.shutdownNow();
    }
    assertThat(runs.get(), is(RUNS));
  }

  @Test
  void elementThatFailsDoesNotHideTheOthers() {
    final List<Integer> processed = new ArrayList<>();
    Callbacks.forEach(
        "test",
        List.of(1, 0, 2),
        element -> {
          processed.add(4 / element);
        });
    assertThat(processed, is(List.of(4, 2)));
  }

  @Test
  void callbackThatFailsDoesNotThrow() {
    assertDoesNotThrow(
        () ->
            Callbacks.<String>logged(
                    (value, failure) -> {
                      throw new IllegalStateException("broken");
                    })
                .accept("value", null));
  }

  /** Guards against an error that ends the work of a daemon without a trace. */
  @Test
  void errorOfRuntimeIsThrown() {
    assertThrows(
        NoClassDefFoundError.class,
        () ->
            Callbacks.loggedTask(
                    "test",
                    () -> {
                      throw new NoClassDefFoundError("broken");
                    })
                .run());
  }

  private static void fail(final boolean stackOverflow) {
    if (stackOverflow) {
      fail(true);
    }
    throw new IllegalStateException("broken");
  }
}
