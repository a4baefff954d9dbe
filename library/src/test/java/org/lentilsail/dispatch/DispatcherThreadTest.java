package org.lentilsail.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against a dispatcher thread that ends with the first failure of a task. */
class DispatcherThreadTest {
  /** Guards against one faulty message that stops all dispatching. */
  @Test
  void goesOnAfterFailedTask() throws InterruptedException {
    final CountDownLatch done = new CountDownLatch(1);
    try (DispatcherThread thread = new DispatcherThread()) {
      thread.execute(
          () -> {
            throw new IllegalStateException("thrown by the test");
          });
      thread.execute(done::countDown);
      assertThat(done.await(30, TimeUnit.SECONDS), is(true));
    }
  }

  /** Guards against an exception for requests that arrive during the stop. */
  @Test
  void dropsTasksAfterTheStop() {
    final DispatcherThread thread = new DispatcherThread();
    thread.close();
    thread.execute(() -> {});
  }
}
