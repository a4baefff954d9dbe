package org.lentilsail.peer;

import org.lentilsail.model.time.TimeSource;

/**
 * What the connections of one daemon share.
 *
 * @param self id of this daemon
 * @param time clock
 * @param loop the thread that owns the connections
 * @param codec writes and reads messages
 * @param metrics counts
 * @param filter decides which messages arrive
 */
record PeerContext(
    String self,
    TimeSource time,
    PeerEventLoop loop,
    PeerCodec codec,
    PeerMetrics metrics,
    LinkFilter filter) {}
