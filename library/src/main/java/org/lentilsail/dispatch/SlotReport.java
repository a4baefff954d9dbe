package org.lentilsail.dispatch;

import java.util.List;
import org.lentilsail.peer.PeerMessage;

/**
 * Lists all slots of a service that a daemon holds, so that a new dispatcher learns them and lost
 * messages are made good.
 *
 * @param service name of the service
 * @param slots the slots
 */
public record SlotReport(String service, List<HeldSlot> slots) implements PeerMessage {
  /** Copies the list, so that the message cannot change. */
  public SlotReport {
    slots = List.copyOf(slots);
  }
}
