package org.lentilsail.dispatch;

import org.lentilsail.peer.PeerMessage;

/**
 * Grants a slot to the daemon that requested it.
 *
 * @param service name of the service
 * @param number number of the request
 * @param vm VM of the worker
 * @param address IP address and port of the worker
 */
public record SlotGrant(String service, long number, String vm, String address)
    implements PeerMessage {}
