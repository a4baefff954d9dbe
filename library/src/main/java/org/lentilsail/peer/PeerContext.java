package org.lentilsail.peer;

import org.lentilsail.model.time.TimeSource;

/**
 * Objects shared by the connections of one daemon.
 *
 * @param self id of this daemon
 * @param time clock
 * @param loop event loop of the connections
 * @param codec encodes and decodes messages
 * @param metrics counters of the connections
 * @param filter decides which messages are delivered
 */
record PeerContext(
    String self,
    TimeSource time,
    PeerEventLoop loop,
    PeerCodec codec,
    PeerMetrics metrics,
    LinkFilter filter) {}
