package org.lentilsail.entry;

import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicInteger;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/** Backend server with a handler supplied by the test; counts the requests. */
final class TestBackend implements AutoCloseable {
  private final AtomicInteger requests = new AtomicInteger();
  private final XnioWorker worker;
  private final AcceptingChannel<StreamConnection> listener;

  TestBackend(final HttpHandler handler) throws IOException {
    worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
    final HttpOpenListener http = new HttpOpenListener(new DefaultByteBufferPool(true, 8192));
    http.setRootHandler(
        exchange -> {
          requests.incrementAndGet();
          handler.handleRequest(exchange);
        });
    listener =
        worker.createStreamConnectionServer(
            new InetSocketAddress("127.0.0.1", 0),
            ChannelListeners.openListenerAdapter(http),
            OptionMap.EMPTY);
    listener.resumeAccepts();
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalAddress(InetSocketAddress.class).getPort();
  }

  int requests() {
    return requests.get();
  }

  @Override
  public void close() {
    IoUtils.safeClose(listener);
    worker.shutdownNow();
  }
}
