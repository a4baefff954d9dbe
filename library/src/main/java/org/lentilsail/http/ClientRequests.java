package org.lentilsail.http;

import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.util.Arrays;
import java.util.Locale;
import java.util.Set;

/** Builds requests for Undertow's HTTP client. */
final class ClientRequests {
  /**
   * Header fields that are specific to a connection or set by this client, and so are not forwarded
   * (RFC 9110, section 7.6.1).
   */
  private static final Set<String> CONNECTION_FIELDS =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "content-length",
          "host",
          "expect");

  private ClientRequests() {}

  static boolean isConnectionField(final String name) {
    return CONNECTION_FIELDS.contains(name.toLowerCase(Locale.ROOT));
  }

  static ClientRequest of(final HttpCall call) {
    final ClientRequest request =
        new ClientRequest().setMethod(new HttpString(call.method())).setPath(call.path());
    call.fields().stream()
        .filter(field -> !isConnectionField(field.name()))
        .forEach(
            field -> request.getRequestHeaders().add(new HttpString(field.name()), field.value()));
    request
        .getRequestHeaders()
        .put(Headers.HOST, call.target().getHostString() + ":" + call.target().getPort());
    request.getRequestHeaders().put(Headers.CONTENT_LENGTH, call.body().length);
    return request;
  }

  static boolean isReusable(final ClientResponse response) {
    final HeaderValues connection = response.getResponseHeaders().get(Headers.CONNECTION);
    return connection == null
        || connection.stream()
            .flatMap(value -> Arrays.stream(value.split(",")))
            .noneMatch(option -> option.trim().equalsIgnoreCase("close"));
  }
}
