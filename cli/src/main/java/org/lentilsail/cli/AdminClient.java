package org.lentilsail.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import org.lentilsail.http.HttpCall;
import org.lentilsail.http.HttpCallException;
import org.lentilsail.http.HttpCaller;
import org.lentilsail.http.HttpField;
import org.lentilsail.http.HttpResponse;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.json.JsonText;
import org.lentilsail.model.settings.HostPort;

/**
 * Client of the operators' HTTP interface; uses the first daemon that responds. Every call can be
 * repeated on another daemon: reads change nothing, writes are conditional, and all except
 * deletions carry a write ID.
 */
final class AdminClient {
  /** Timeout of a call to one daemon; must exceed the 4 s that a daemon waits for the platform. */
  private static final Duration TIMEOUT = Duration.ofSeconds(8);

  /** Maximum response size in bytes. */
  private static final int RESPONSE_LIMIT_BYTES = 64 * 1024 * 1024;

  /** Lowest HTTP status that reports an error. */
  private static final int FIRST_ERROR_STATUS = 400;

  /** Errors that are specific to one daemon; the call is retried on the next one. */
  private static final Set<ErrorCode> DAEMON_SPECIFIC_ERRORS =
      Set.of(ErrorCode.STOPPING, ErrorCode.NO_CONFIGURATION);

  private final HttpCaller httpClient;

  /** Admin addresses of the daemons in order of preference. */
  private final List<HostPort> servers;

  AdminClient(final HttpCaller httpClient, final List<HostPort> servers) {
    this.httpClient = httpClient;
    this.servers = List.copyOf(servers);
  }

  /**
   * Reads a path.
   *
   * @param path path with query
   * @return body of the response
   */
  JsonNode read(final String path) {
    return call("GET", path, "", "");
  }

  /**
   * Sends a request to each daemon in order until one responds.
   *
   * @param method request method
   * @param path path with query
   * @param body request body
   * @param retryParameter query parameter that is appended to the path once an earlier attempt may
   *     have taken effect
   * @return body of the response
   */
  JsonNode call(
      final String method, final String path, final String body, final String retryParameter) {
    boolean written = false;
    LentilsailException last = null;
    Optional<JsonNode> result = Optional.empty();
    for (int i = 0; i < servers.size() && result.isEmpty(); i++) {
      try {
        result =
            Optional.of(
                callOnce(servers.get(i), method, written ? path + retryParameter : path, body));
      } catch (final HttpCallException error) {
        written |= error.written() && !"GET".equals(method);
        last = error;
      } catch (final AdminError error) {
        if (!DAEMON_SPECIFIC_ERRORS.contains(error.code())) {
          throw error;
        }
        last = error;
      }
    }
    final boolean unknown = written;
    final LentilsailException cause = last;
    return result.orElseThrow(() -> noResponse(unknown, path, cause));
  }

  private JsonNode callOnce(
      final HostPort server, final String method, final String path, final String body) {
    final HttpCall call =
        new HttpCall(
            server.socketAddress(),
            method,
            path,
            List.of(new HttpField("Host", server.toString())),
            body.getBytes(StandardCharsets.UTF_8),
            TIMEOUT,
            RESPONSE_LIMIT_BYTES);
    try {
      final HttpResponse response = httpClient.call(call).get();
      final JsonNode json =
          JsonText.parse(
              new String(response.body(), StandardCharsets.UTF_8),
              "the response of " + server,
              ErrorCode.INTERNAL);
      if (response.status() >= FIRST_ERROR_STATUS) {
        throw new AdminError(json);
      }
      return json;
    } catch (final InterruptedException error) {
      Thread.currentThread().interrupt();
      throw new LentilsailException(
          ErrorCode.OUTCOME_UNKNOWN, "the command was interrupted", "repeat it", error);
    } catch (final ExecutionException error) {
      if (error.getCause() instanceof HttpCallException failure) {
        throw failure;
      }
      throw new LentilsailException(
          ErrorCode.INTERNAL, "the call failed: " + error.getCause(), "report this defect", error);
    }
  }

  private LentilsailException noResponse(
      final boolean written, final String path, final LentilsailException cause) {
    return written
        ? new LentilsailException(
            ErrorCode.OUTCOME_UNKNOWN,
            "no daemon answered, and the command may have taken effect (" + path + ")",
            "repeat the command with the same mark and revision",
            cause)
        : new LentilsailException(
            ErrorCode.DAEMON_UNREACHABLE,
            "no daemon of " + servers + " answers: " + cause.getMessage(),
            "check --server and that the daemons run",
            cause);
  }
}
