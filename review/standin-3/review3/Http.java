package review3;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** HTTP servers and calls of the stand-ins. */
final class Http {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          task -> {
            final Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });
  private static final ScheduledExecutorService TIMER =
      Executors.newScheduledThreadPool(
          2,
          task -> {
            final Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });

  /** Handles a request of a stand-in server. */
  interface Handler {
    void handle(HttpExchange exchange) throws IOException;
  }

  /** A response; status 0 means that there was none. */
  record Response(int status, String body) {}

  private Http() {}

  static {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    System.setProperty("sun.net.httpserver.maxIdleConnections", "4000");
    System.setProperty("sun.net.httpserver.idleInterval", "3600");
  }

  /** Starts a server on a free port of a loopback address and returns ADDRESS:PORT. */
  static String serve(final String address, final Handler handler) throws IOException {
    final HttpServer server = HttpServer.create(new InetSocketAddress(address, 0), 500);
    server.setExecutor(THREADS);
    server.createContext(
        "/",
        exchange -> {
          try {
            handler.handle(exchange);
          } catch (final IOException | RuntimeException error) {
            exchange.close();
          }
        });
    server.start();
    return address + ':' + server.getAddress().getPort();
  }

  static void answer(final HttpExchange exchange, final int status, final JsonNode body)
      throws IOException {
    exchange.getRequestBody().readAllBytes();
    if (body == null) {
      exchange.sendResponseHeaders(status, -1);
    } else {
      final byte[] bytes = bytes(body);
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(status, bytes.length);
      exchange.getResponseBody().write(bytes);
    }
    exchange.close();
  }

  static JsonNode body(final HttpExchange exchange) throws IOException {
    final byte[] bytes = exchange.getRequestBody().readAllBytes();
    return bytes.length == 0 ? object() : MAPPER.readTree(bytes);
  }

  static String parameter(final HttpExchange exchange, final String name) {
    final String query = exchange.getRequestURI().getRawQuery();
    if (query != null) {
      for (final String part : query.split("&")) {
        if (part.startsWith(name + '=')) {
          return URLDecoder.decode(part.substring(name.length() + 1), StandardCharsets.UTF_8);
        }
      }
    }
    return "";
  }

  static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  static byte[] bytes(final JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (final IOException error) {
      throw new IllegalStateException(error);
    }
  }

  static JsonNode read(final String text) {
    try {
      return MAPPER.readTree(text);
    } catch (final IOException error) {
      throw new IllegalStateException(error);
    }
  }

  /** Sends one request over a connection of its own. */
  static Response call(
      final String method,
      final String target,
      final String path,
      final String host,
      final byte[] body,
      final int timeoutMillis) {
    final int colon = target.lastIndexOf(':');
    try (Socket socket = new Socket()) {
      socket.setTcpNoDelay(true);
      socket.connect(
          new InetSocketAddress(
              target.substring(0, colon), Integer.parseInt(target.substring(colon + 1))),
          timeoutMillis);
      socket.setSoTimeout(timeoutMillis);
      final StringBuilder head = new StringBuilder();
      head.append(method).append(' ').append(path).append(" HTTP/1.1\r\nHost: ").append(host);
      head.append("\r\nConnection: close\r\nX-Lentilsail-Deadline-Ms: 3000\r\n");
      if (body != null) {
        head.append("Content-Type: application/json\r\nContent-Length: ").append(body.length);
        head.append("\r\n");
      }
      head.append("\r\n");
      final ByteArrayOutputStream request = new ByteArrayOutputStream();
      request.writeBytes(head.toString().getBytes(StandardCharsets.US_ASCII));
      if (body != null) {
        request.writeBytes(body);
      }
      socket.getOutputStream().write(request.toByteArray());
      socket.getOutputStream().flush();
      return response(socket.getInputStream());
    } catch (final IOException error) {
      return new Response(0, String.valueOf(error.getMessage()));
    }
  }

  private static Response response(final InputStream in) throws IOException {
    final String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
    if (!text.startsWith("HTTP/1.1 ")) {
      return new Response(0, "no response");
    }
    final int bodyAt = text.indexOf("\r\n\r\n");
    return new Response(
        Integer.parseInt(text.substring(9, 12)), bodyAt < 0 ? "" : text.substring(bodyAt + 4));
  }

  static int freePort(final String address) throws IOException {
    try (java.net.ServerSocket socket = new java.net.ServerSocket()) {
      socket.bind(new InetSocketAddress(address, 0));
      return socket.getLocalPort();
    }
  }

  static void run(final Runnable task) {
    THREADS.execute(task);
  }

  static void later(final long millis, final Runnable task) {
    TIMER.schedule(task, millis, TimeUnit.MILLISECONDS);
  }

  static void sleep(final long millis) {
    try {
      Thread.sleep(millis);
    } catch (final InterruptedException error) {
      Thread.currentThread().interrupt();
    }
  }
}
