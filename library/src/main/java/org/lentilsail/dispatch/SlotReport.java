package org.lentilsail.dispatch;

import java.util.List;
import org.lentilsail.peer.PeerMessage;

/**
 * Lists all slots of a service that a daemon holds. It lets a new dispatcher rebuild its state and
 * compensates for lost grants and releases.
 *
 * @param service name of the service
 * @param slots the slots
 */
public record SlotReport(String service, List<HeldSlot> slots) implements PeerMessage {
  /** Copies the list, so that the message is immutable. */
  public SlotReport {
    slots = List.copyOf(slots);
  }
}
