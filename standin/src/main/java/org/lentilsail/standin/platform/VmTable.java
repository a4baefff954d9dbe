package org.lentilsail.standin.platform;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.time.TimeSource;
import org.lentilsail.platform.VmReport;

/** Tracks the VMs and their boot generations, and lists them with a delay. Thread-safe. */
public final class VmTable {
  private final Map<String, VmState> vms = new LinkedHashMap<>();

  private final TimeSource time;

  /** Delay in ns with which the list shows changes. */
  private final long lagNanos;

  /** Time in ms without a response after which a VM is reported as gone. */
  private final long goneMillis;

  /**
   * Creates a table of live VMs.
   *
   * @param settings the VMs, the delay of the list and the time after which an unresponsive VM is
   *     reported as gone
   * @param time clock for the delay and for unresponsive VMs
   */
  public VmTable(final PlatformSettings settings, final TimeSource time) {
    this.time = time;
    this.lagNanos = TimeUnit.MILLISECONDS.toNanos(settings.listLagMillis());
    this.goneMillis = settings.goneMillis();
    settings.vms().forEach(vm -> vms.put(vm.vm(), new VmState(vm, time.nanos())));
  }

  /**
   * Returns the list of VMs with its delay.
   *
   * @return the VMs as they were before the delay
   */
  public synchronized List<VmReport> list() {
    final long then = time.nanos() - lagNanos;
    return vms.values().stream().map(vm -> vm.reportAt(then)).toList();
  }

  /**
   * Records the status of a VM that responded to a poll.
   *
   * @param vm name of the VM
   * @param running number of requests that run on it
   * @param draining whether it is draining
   * @param boots boot number reported by the VM itself
   */
  public synchronized void recordStatus(
      final String vm, final int running, final boolean draining, final long boots) {
    find(vm).recordStatus(running, draining, boots, time.nanos());
  }

  /**
   * Records that a VM did not respond to a poll.
   *
   * @param vm name of the VM
   */
  public synchronized void recordNoResponse(final String vm) {
    find(vm).recordNoResponse(time.nanos(), goneMillis);
  }

  /**
   * Marks a VM as leaving: the platform is about to remove it.
   *
   * @param vm name of the VM
   */
  public synchronized void markLeaving(final String vm) {
    find(vm).markLeaving(time.nanos());
  }

  /**
   * Checks the boot generation for which an operation is meant. A reboot increments the boot
   * generation at once, so that a repeat of it is rejected.
   *
   * @param vm name of the VM
   * @param reboot whether the operation is a reboot
   * @param bootGeneration boot generation for which the operation is meant
   * @return false when the VM is at a different boot generation
   */
  public synchronized boolean beginOperation(
      final String vm, final boolean reboot, final long bootGeneration) {
    final VmState state = find(vm);
    final boolean result = state.hasBootGeneration(bootGeneration);
    if (result && reboot) {
      state.beginReboot();
    }
    return result;
  }

  /**
   * Reverts the start of a reboot that the VM did not execute.
   *
   * @param vm name of the VM
   */
  public synchronized void abandonReboot(final String vm) {
    find(vm).abandonReboot();
  }

  /**
   * Returns the settings of a VM.
   *
   * @param vm name of the VM
   * @return the settings
   */
  public synchronized VmSettings settings(final String vm) {
    return find(vm).settings();
  }

  private VmState find(final String vm) {
    final VmState result = vms.get(vm);
    if (result == null) {
      throw new LentilsailException(
          ErrorCode.NOT_FOUND,
          "VM \"" + vm + "\" does not exist",
          "use the name of a VM in the list");
    }
    return result;
  }
}
