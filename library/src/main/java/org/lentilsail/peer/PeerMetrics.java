package org.lentilsail.peer;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Counters of the connections between daemons. */
final class PeerMetrics {
  /** Rejected frames, which close their connection, by reason. */
  private final Counter badFrames;

  /** Messages of unknown types, or whose content does not fit their type. */
  private final Counter unknownMessages;

  /** Messages dropped because the peer was not connected or its queue was full. */
  private final Counter droppedMessages;

  /** Bytes, by direction. */
  private final Counter bytes;

  PeerMetrics(final PrometheusRegistry registry) {
    badFrames =
        Counter.builder()
            .name("lentilsail_peer_bad_frames_total")
            .help("Frames that closed their connection.")
            .labelNames("reason")
            .register(registry);
    unknownMessages =
        Counter.builder()
            .name("lentilsail_peer_unknown_messages_total")
            .help("Messages of unknown types, ignored.")
            .register(registry);
    droppedMessages =
        Counter.builder()
            .name("lentilsail_peer_dropped_messages_total")
            .help("Messages dropped before they were sent.")
            .register(registry);
    bytes =
        Counter.builder()
            .name("lentilsail_peer_bytes_total")
            .help("Bytes between daemons.")
            .labelNames("direction")
            .register(registry);
  }

  void countBadFrame(final BadFrameReason reason) {
    badFrames.labelValues(reason.label()).inc();
  }

  void countUnknownMessage() {
    unknownMessages.inc();
  }

  void countDroppedMessage() {
    droppedMessages.inc();
  }

  void countSent(final long count) {
    bytes.labelValues("sent").inc(count);
  }

  void countReceived(final long count) {
    bytes.labelValues("received").inc(count);
  }
}
