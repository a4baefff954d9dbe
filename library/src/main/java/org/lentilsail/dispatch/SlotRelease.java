package org.lentilsail.dispatch;

import org.lentilsail.peer.PeerMessage;
import org.lentilsail.policy.dispatch.WorkerResult;

/**
 * Returns a slot to its dispatcher.
 *
 * @param service name of the service
 * @param number number of the request that got the slot
 * @param result what the outcome of the request shows about the worker
 * @param runMillis time in ms that the request took on the worker
 */
public record SlotRelease(String service, long number, WorkerResult result, long runMillis)
    implements PeerMessage {}
