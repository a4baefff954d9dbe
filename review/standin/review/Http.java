package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP servers of the stand-ins, on loopback addresses and free ports. */
final class Http {
  private static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          task -> {
            final Thread thread = new Thread(task, "standin");
            thread.setDaemon(true);
            return thread;
          });

  private Http() {}

  /** An answer; a null body is an empty one. */
  record Answer(int status, Object body) {}

  /** Answers a request. */
  interface Handler {
    Answer answer(HttpExchange exchange, String path, Map<String, String> query, String body)
        throws Exception;
  }

  /** Starts a server on a free port of an address. */
  static HttpServer serve(final String host, final Handler handler) throws IOException {
    final HttpServer server = HttpServer.create(new InetSocketAddress(host, 0), 128);
    server.setExecutor(THREADS);
    server.createContext("/", exchange -> handle(exchange, handler));
    server.start();
    return server;
  }

  /** Returns the address of a server as host and port. */
  static String address(final HttpServer server) {
    return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
  }

  private static void handle(final HttpExchange exchange, final Handler handler)
      throws IOException {
    try {
      final String body =
          new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      final Answer answer =
          handler.answer(
              exchange,
              exchange.getRequestURI().getPath(),
              query(exchange.getRequestURI().getRawQuery()),
              body);
      if (answer.body() == null) {
        exchange.sendResponseHeaders(answer.status(), -1);
      } else {
        final byte[] bytes = Json.write(answer.body()).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(answer.status(), bytes.length);
        exchange.getResponseBody().write(bytes);
      }
    } catch (final IOException gone) {
      // The caller has closed the connection.
    } catch (final Exception error) {
      error.printStackTrace();
      exchange.sendResponseHeaders(500, -1);
    } finally {
      exchange.close();
    }
  }

  private static Map<String, String> query(final String raw) {
    final Map<String, String> query = new HashMap<>();
    if (raw != null) {
      for (final String part : raw.split("&")) {
        final int equals = part.indexOf('=');
        query.put(
            part.substring(0, equals),
            URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return query;
  }
}
