package org.lentilsail.admin;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;

/** Handles requests for metrics, liveness and readiness; never blocks and runs on I/O threads. */
final class HealthRoutes {
  /** HTTP status of a daemon that is live or ready. */
  private static final int OK = 200;

  /** HTTP status of a daemon that is not ready to accept traffic. */
  private static final int NOT_READY = 503;

  private final AdminComponents components;

  HealthRoutes(final AdminComponents components) {
    this.components = components;
  }

  /** Reports liveness: succeeds as long as the process runs, independently of other components. */
  void live(final HttpServerExchange exchange) {
    JsonHandler.send(exchange, OK, JsonNodeFactory.instance.objectNode().put("state", "live"));
  }

  /** Reports readiness: succeeds when all conditions hold. */
  void ready(final HttpServerExchange exchange) {
    final ObjectNode json = JsonNodeFactory.instance.objectNode();
    boolean ready = true;
    final ObjectNode conditions = JsonNodeFactory.instance.objectNode();
    for (final ReadinessCheck check : components.readiness()) {
      final Optional<String> failure = check.failure();
      ready &= failure.isEmpty();
      conditions.put(check.checkName(), failure.orElse("ok"));
    }
    json.put("ready", ready);
    json.set("conditions", conditions);
    json.put(
        "platform", components.platformConnected().getAsBoolean() ? "connected" : "unreachable");
    JsonHandler.send(exchange, ready ? OK : NOT_READY, json);
  }

  /** Writes the metrics in Prometheus text format. */
  void metrics(final HttpServerExchange exchange) throws IOException {
    final ByteArrayOutputStream text = new ByteArrayOutputStream();
    PrometheusTextFormatWriter.create().write(text, components.metrics().scrape());
    exchange
        .getResponseHeaders()
        .put(Headers.CONTENT_TYPE, PrometheusTextFormatWriter.CONTENT_TYPE);
    exchange.getResponseSender().send(ByteBuffer.wrap(text.toByteArray()));
  }
}
