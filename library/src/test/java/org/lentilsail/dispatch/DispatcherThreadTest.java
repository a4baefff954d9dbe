package org.lentilsail.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against a dispatcher thread that terminates when a task fails. */
class DispatcherThreadTest {
  /** Guards against a message handler whose exception stops all dispatching. */
  @Test
  void continuesAfterFailedTask() throws InterruptedException {
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

  /** Guards against an exception for tasks that arrive during shutdown. */
  @Test
  void dropsTasksAfterTheStop() {
    final DispatcherThread thread = new DispatcherThread();
    thread.close();
    thread.execute(() -> {});
  }
}
