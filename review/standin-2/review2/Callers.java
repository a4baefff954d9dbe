package review2;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Sends requests of callers, each on a connection of its own. */
final class Callers {
  private static final int TIMEOUT_MILLIS = 3_000;

  /** An answer; status 0 means that there was none. */
  record Answer(int status, String body) {}

  private final Recorder recorder;

  Callers(final Recorder recorder) {
    this.recorder = recorder;
  }

  /** Sends a request to a daemon. */
  Answer call(final Daemon daemon, final String method, final String path, final JsonNode body) {
    final Answer answer = send(daemon.front, method, path, body);
    recorder.log(
        "caller: %s %s to %s: %d %s", method, path, daemon.name, answer.status(), answer.body());
    return answer;
  }

  private static Answer send(
      final String target, final String method, final String path, final JsonNode body) {
    final byte[] bytes = body == null ? new byte[0] : Json.write(body);
    final int colon = target.lastIndexOf(':');
    try (Socket socket = new Socket()) {
      socket.connect(
          new InetSocketAddress(
              target.substring(0, colon), Integer.parseInt(target.substring(colon + 1))),
          TIMEOUT_MILLIS);
      socket.setSoTimeout(TIMEOUT_MILLIS);
      final String head =
          method
              + ' '
              + path
              + " HTTP/1.1\r\nHost: jobs.example\r\nContent-Type: application/json\r\n"
              + "X-Lentilsail-Deadline-Ms: 3000\r\nConnection: close\r\nContent-Length: "
              + bytes.length
              + "\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().write(bytes);
      final String text =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      final int end = text.indexOf("\r\n\r\n");
      return end < 0
          ? new Answer(0, "")
          : new Answer(Integer.parseInt(text.split(" ")[1]), text.substring(end + 4));
    } catch (final IOException error) {
      return new Answer(0, "");
    }
  }
}
