package org.lentilsail.dispatch;

import org.lentilsail.peer.PeerMessage;
import org.lentilsail.policy.dispatch.RefusalReason;

/**
 * Refuses a slot to the daemon that requested it.
 *
 * @param service name of the service
 * @param number number of the request
 * @param reason reason of the refusal
 */
public record SlotRefusal(String service, long number, RefusalReason reason)
    implements PeerMessage {}
