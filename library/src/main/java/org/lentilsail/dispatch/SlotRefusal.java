package org.lentilsail.dispatch;

import org.lentilsail.peer.PeerMessage;
import org.lentilsail.policy.dispatch.RefusalReason;

/**
 * Tells a daemon that its request gets no slot.
 *
 * @param service name of the service
 * @param number number of the request
 * @param reason why not
 */
public record SlotRefusal(String service, long number, RefusalReason reason)
    implements PeerMessage {}
