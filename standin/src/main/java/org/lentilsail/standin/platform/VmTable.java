package org.lentilsail.standin.platform;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.time.TimeSource;
import org.lentilsail.platform.VmReport;

/** Keeps the list of VMs, which lags, and their boot generations; thread-safe. */
public final class VmTable {
  /** VMs by name. */
  private final Map<String, VmState> vms = new LinkedHashMap<>();

  /** Clock of the lag. */
  private final TimeSource time;

  /** Lag of the list in ns. */
  private final long lagNanos;

  /** Time without an answer in ms after which a VM is gone. */
  private final long goneMillis;

  /**
   * Creates a table of live VMs.
   *
   * @param settings the VMs, the lag of the list and the time after which a silent VM is gone
   * @param time clock of the lag
   */
  public VmTable(final PlatformSettings settings, final TimeSource time) {
    this.time = time;
    this.lagNanos = TimeUnit.MILLISECONDS.toNanos(settings.listLagMillis());
    this.goneMillis = settings.goneMillis();
    settings.vms().forEach(vm -> vms.put(vm.vm(), new VmState(vm, time.nanos())));
  }

  /**
   * Returns the list as it was before the lag.
   *
   * @return the VMs
   */
  public synchronized List<VmReport> list() {
    final long then = time.nanos() - lagNanos;
    return vms.values().stream().map(vm -> vm.reportAt(then)).toList();
  }

  /**
   * Takes note of an answer of a VM.
   *
   * @param vm name of the VM
   * @param running requests that run on it
   * @param draining whether it drains
   * @param boots boot number that the VM itself gave
   */
  public synchronized void recordStatus(
      final String vm, final int running, final boolean draining, final long boots) {
    find(vm).recordStatus(running, draining, boots, time.nanos());
  }

  /**
   * Takes note that a VM did not answer.
   *
   * @param vm name of the VM
   */
  public synchronized void recordNoResponse(final String vm) {
    find(vm).recordNoResponse(time.nanos(), goneMillis);
  }

  /**
   * Marks a VM as one that the platform takes away.
   *
   * @param vm name of the VM
   */
  public synchronized void markLeaving(final String vm) {
    find(vm).markLeaving(time.nanos());
  }

  /**
   * Checks the boot generation that an operation is meant for. A reboot counts from here on, so
   * that a repeat of it is refused.
   *
   * @param vm name of the VM
   * @param reboot whether the operation is a reboot
   * @param bootGeneration boot generation for which the operation is meant
   * @return false when the VM has another boot generation
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
   * Takes back a reboot that did not reach the VM.
   *
   * @param vm name of the VM
   */
  public synchronized void abandonReboot(final String vm) {
    find(vm).abandonReboot();
  }

  /**
   * Returns the description of a VM.
   *
   * @param vm name of the VM
   * @return the description
   */
  public synchronized VmSettings settings(final String vm) {
    return find(vm).settings();
  }

  private VmState find(final String vm) {
    final VmState result = vms.get(vm);
    if (result == null) {
      throw new LentilsailException(
          ErrorCode.NOT_FOUND, "VM \"" + vm + "\" does not exist", "name a VM of the list");
    }
    return result;
  }
}
