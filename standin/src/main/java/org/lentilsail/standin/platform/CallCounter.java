package org.lentilsail.standin.platform;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;

/** Counts requests by kind and by client. Thread-safe. */
final class CallCounter {
  private final Map<String, Long> kinds = new TreeMap<>();

  private final Map<String, Long> clients = new TreeMap<>();

  synchronized void count(final String kind, final String client) {
    kinds.merge(kind, 1L, Long::sum);
    clients.merge(client, 1L, Long::sum);
  }

  synchronized ObjectNode totals() {
    final ObjectNode result = JsonNodeFactory.instance.objectNode();
    result.put("total", kinds.values().stream().mapToLong(Long::longValue).sum());
    final ObjectNode byKind = result.putObject("byKind");
    kinds.forEach(byKind::put);
    final ObjectNode byClient = result.putObject("byClient");
    clients.forEach(byClient::put);
    return result;
  }
}
