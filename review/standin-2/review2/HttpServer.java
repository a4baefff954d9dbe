package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;

/** A small HTTP/1.1 server with a thread for each connection. */
final class HttpServer implements AutoCloseable {
  /** A request that has been read completely. */
  record Request(
      String method,
      String path,
      Map<String, String> query,
      Map<String, String> headers,
      byte[] body) {}

  /** A response; null instead of one means that the connection stays open and silent for good. */
  record Response(int status, byte[] body) {
    static Response of(final int status) {
      return new Response(status, new byte[0]);
    }

    static Response json(final int status, final com.fasterxml.jackson.databind.JsonNode body) {
      return new Response(status, Json.write(body));
    }
  }

  /** Answers requests. */
  interface Handler {
    Response handle(Request request) throws Exception;
  }

  /**
   * The links of callers to the server. A link that is cut holds back the bytes of both directions.
   */
  static final class Link {
    private Predicate<String> cut = caller -> false;

    /** Cuts the links of some callers. */
    synchronized void cut(final Predicate<String> callers) {
      cut = callers;
      notifyAll();
    }

    /** Cuts or restores the links of all callers. */
    void cut(final boolean value) {
      cut(caller -> value);
    }

    synchronized void await(final String caller) throws InterruptedException {
      while (cut.test(caller)) {
        wait();
      }
    }

    synchronized boolean isCut(final String caller) {
      return cut.test(caller);
    }
  }

  /** Connections that the kernel completes before they are accepted. */
  private static final int BACKLOG = 500;

  private final ServerSocket listener;
  private final Handler handler;
  private final Link link;
  private final Function<Socket, String> callerOf;

  HttpServer(final InetAddress address, final Handler handler, final Link link) throws IOException {
    this(address, handler, link, socket -> "any");
  }

  /**
   * Starts a server.
   *
   * @param callerOf names the caller of an accepted connection
   */
  HttpServer(
      final InetAddress address,
      final Handler handler,
      final Link link,
      final Function<Socket, String> callerOf)
      throws IOException {
    listener = new ServerSocket(0, BACKLOG, address);
    this.handler = handler;
    this.link = link;
    this.callerOf = callerOf;
    start(this::accept);
  }

  String address() {
    return listener.getInetAddress().getHostAddress() + ':' + listener.getLocalPort();
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }

  private static void start(final Runnable task) {
    final Thread thread = new Thread(null, task, "http", 256 * 1024);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        final Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        start(() -> serve(socket));
      } catch (final IOException error) {
        return;
      }
    }
  }

  private void serve(final Socket socket) {
    try (socket) {
      final InputStream in = new BufferedInputStream(socket.getInputStream());
      final OutputStream out = socket.getOutputStream();
      final String caller = callerOf.apply(socket);
      while (true) {
        final Request request = read(in);
        if (request == null) {
          return;
        }
        if (isLostByCut(caller, socket, in)) {
          return;
        }
        final Response response = handler.handle(request);
        if (response == null) {
          in.transferTo(OutputStream.nullOutputStream());
          return;
        }
        if (isLostByCut(caller, socket, in)) {
          return;
        }
        write(out, response);
      }
    } catch (final IOException | InterruptedException error) {
      // The caller has closed the connection.
    } catch (final Exception error) {
      error.printStackTrace();
    }
  }

  /** Waits for the end of a cut; returns whether the caller has abandoned the call meanwhile. */
  private boolean isLostByCut(final String caller, final Socket socket, final InputStream in)
      throws IOException, InterruptedException {
    if (!link.isCut(caller)) {
      return false;
    }
    link.await(caller);
    in.mark(1);
    socket.setSoTimeout(2);
    try {
      return in.read() < 0;
    } catch (final SocketTimeoutException open) {
      return false;
    } finally {
      in.reset();
      socket.setSoTimeout(0);
    }
  }

  private static void write(final OutputStream out, final Response response) throws IOException {
    final String head =
        "HTTP/1.1 "
            + response.status()
            + " x\r\nContent-Type: application/json\r\nContent-Length: "
            + response.body().length
            + "\r\n\r\n";
    final byte[] start = head.getBytes(StandardCharsets.US_ASCII);
    final byte[] all = new byte[start.length + response.body().length];
    System.arraycopy(start, 0, all, 0, start.length);
    System.arraycopy(response.body(), 0, all, start.length, response.body().length);
    out.write(all);
    out.flush();
  }

  private static Request read(final InputStream in) throws IOException {
    final String first = line(in);
    if (first == null || first.isEmpty()) {
      return null;
    }
    final Map<String, String> headers = new HashMap<>();
    for (String next = line(in); next != null && !next.isEmpty(); next = line(in)) {
      final int colon = next.indexOf(':');
      headers.put(
          next.substring(0, colon).toLowerCase(Locale.ROOT), next.substring(colon + 1).trim());
    }
    final int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    final byte[] body =
        "chunked".equalsIgnoreCase(headers.get("transfer-encoding"))
            ? chunks(in)
            : in.readNBytes(length);
    final String[] parts = first.split(" ");
    final int mark = parts[1].indexOf('?');
    final Map<String, String> query = new HashMap<>();
    if (mark >= 0) {
      for (final String pair : parts[1].substring(mark + 1).split("&")) {
        final int equals = pair.indexOf('=');
        query.put(
            pair.substring(0, equals),
            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    final String path = mark < 0 ? parts[1] : parts[1].substring(0, mark);
    return new Request(parts[0], path, query, headers, body);
  }

  private static byte[] chunks(final InputStream in) throws IOException {
    final var all = new java.io.ByteArrayOutputStream();
    while (true) {
      final int size = Integer.parseInt(line(in).trim(), 16);
      all.write(in.readNBytes(size));
      line(in);
      if (size == 0) {
        return all.toByteArray();
      }
    }
  }

  private static String line(final InputStream in) throws IOException {
    final StringBuilder line = new StringBuilder();
    while (true) {
      final int next = in.read();
      if (next < 0) {
        return line.length() == 0 ? null : line.toString();
      }
      if (next == '\n') {
        return line.toString();
      }
      if (next != '\r') {
        line.append((char) next);
      }
    }
  }
}
