package org.lentilsail.dispatch;

import org.lentilsail.peer.PeerMessage;

/**
 * Cancels a request that is queued at a dispatcher.
 *
 * @param service name of the service
 * @param number number of the request
 */
public record SlotCancel(String service, long number) implements PeerMessage {}
