package org.lentilsail.dispatch;

import org.lentilsail.peer.PeerMessage;
import org.lentilsail.policy.dispatch.WorkerResult;

/**
 * Gives a slot back to its dispatcher.
 *
 * @param service name of the service
 * @param number number of the request that got the slot
 * @param result what the end says about the worker
 * @param runMillis time in ms that the request took on the worker
 */
public record SlotRelease(String service, long number, WorkerResult result, long runMillis)
    implements PeerMessage {}
