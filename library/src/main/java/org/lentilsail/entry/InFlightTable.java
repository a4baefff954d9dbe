package org.lentilsail.entry;

import java.util.HashMap;
import java.util.Map;
import org.lentilsail.model.fleet.FleetDocument;
import org.lentilsail.model.fleet.VmEntry;
import org.lentilsail.model.fleet.VmPhase;

/**
 * Counts the requests in flight and the complete responses of each VM; the counts confirm drains
 * and verifications.
 *
 * <p>A sender counts its request before it reads the fleet document; a reporter reads the document
 * before the counts. Therefore no request can start on a VM after 0 was reported for it at a
 * revision that takes it out of service.
 */
public final class InFlightTable {
  /** Requests in flight by VM; a VM without any has no entry. */
  private final Map<String, Integer> inFlight = new HashMap<>();

  /** Complete responses by VM in phase {@code VERIFYING}. */
  private final Map<String, Integer> responses = new HashMap<>();

  /**
   * Wall-clock time in ms at which the VMs in {@link #responses} entered phase {@code VERIFYING}.
   */
  private final Map<String, Long> verifyingSince = new HashMap<>();

  /**
   * Counts a request before it is sent.
   *
   * @param vm VM that the request is sent to
   */
  public synchronized void begin(final String vm) {
    inFlight.merge(vm, 1, Integer::sum);
  }

  /**
   * Counts the end of a request.
   *
   * @param vm VM that the request was sent to
   * @param complete whether the VM sent a complete response
   */
  public synchronized void end(final String vm, final boolean complete) {
    inFlight.computeIfPresent(vm, (key, count) -> count == 1 ? null : count - 1);
    if (complete) {
      responses.computeIfPresent(vm, (key, count) -> count + 1);
    }
  }

  /**
   * Returns the requests in flight on VMs that are not in service.
   *
   * @param fleet fleet document, read before this call
   * @return the counts by VM, without VMs that have no request in flight
   */
  public synchronized Map<String, Integer> inFlight(final FleetDocument fleet) {
    final Map<String, Integer> result = new HashMap<>();
    inFlight.forEach(
        (vm, count) -> {
          final VmEntry entry = fleet.vms().get(vm);
          if (entry == null || entry.phase() != VmPhase.IN_SERVICE) {
            result.put(vm, count);
          }
        });
    return result;
  }

  /**
   * Returns the complete responses of VMs since their verification began.
   *
   * @return the counts by VM in phase {@code VERIFYING}
   */
  public synchronized Map<String, Integer> responses() {
    return Map.copyOf(responses);
  }

  /**
   * Starts and ends the counting of responses; call it with every new fleet document.
   *
   * @param fleet the document
   */
  public synchronized void apply(final FleetDocument fleet) {
    responses.keySet().removeIf(vm -> !isVerifying(fleet.vms().get(vm)));
    verifyingSince.keySet().retainAll(responses.keySet());
    for (final VmEntry entry : fleet.vms().values()) {
      if (isVerifying(entry)
          && !Long.valueOf(entry.sinceMillis()).equals(verifyingSince.get(entry.vm()))) {
        verifyingSince.put(entry.vm(), entry.sinceMillis());
        responses.put(entry.vm(), 0);
      }
    }
  }

  private static boolean isVerifying(final VmEntry entry) {
    return entry != null && entry.phase() == VmPhase.VERIFYING;
  }
}
