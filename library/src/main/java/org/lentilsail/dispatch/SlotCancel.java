package org.lentilsail.dispatch;

import org.lentilsail.peer.PeerMessage;

/**
 * Withdraws a request that waits at a dispatcher.
 *
 * @param service name of the service
 * @param number number of the request
 */
public record SlotCancel(String service, long number) implements PeerMessage {}
