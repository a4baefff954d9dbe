package org.lentilsail.model.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lentilsail.model.error.LentilsailException;

/**
 * Guards against a fleet document that loses state or exceeds the size limit of the platform's
 * store.
 */
class FleetCodecTest {
  /** Maximum size of a value in the platform's store, in bytes. */
  private static final int VALUE_LIMIT_BYTES = 1_000_000;

  @Test
  void keepsEverything() {
    final FleetDocument fleet = busy(3);
    assertThat(FleetCodec.read(FleetCodec.write(fleet)), is(fleet));
    final FleetDocument idle =
        new FleetDocument(
            2, "", Map.of("vm", VmEntry.inService("vm", "h:1", "z", "r", "p", 1, 5)), Map.of());
    assertThat(FleetCodec.read(FleetCodec.write(idle)), is(idle));
  }

  @Test
  void ignoresUnknownFields() {
    final ObjectNode json = FleetCodec.write(busy(1));
    json.put("later", 1);
    ((ObjectNode) json.get("vms").get("fairway-vm-0000")).put("later", 1);
    ((ObjectNode) json.get("waves").get("monthly-kernel")).put("later", 1);
    assertThat(FleetCodec.read(json), is(busy(1)));
  }

  @Test
  void rejectsUnknownPhase() {
    final ObjectNode json = FleetCodec.write(busy(1));
    ((ObjectNode) json.get("vms").get("fairway-vm-0000")).put("phase", "FLYING");
    assertThrows(LentilsailException.class, () -> FleetCodec.read(json));
  }

  /** Every VM is out of service and in a wave, which is the longest form of an entry. */
  @ParameterizedTest
  @ValueSource(ints = {300, 1_200})
  void fitsIntoOneValue(final int vms) {
    final int bytes =
        FleetCodec.write(busy(vms)).toString().getBytes(StandardCharsets.UTF_8).length;
    System.out.printf("fleet document: %d VMs, %d bytes, %d per VM%n", vms, bytes, bytes / vms);
    assertThat(bytes, lessThan(VALUE_LIMIT_BYTES));
  }

  private static FleetDocument busy(final int count) {
    final Map<String, VmEntry> vms = new HashMap<>();
    for (int i = 0; i < count; i++) {
      final String name = "fairway-vm-%04d".formatted(i);
      vms.put(
          name,
          new VmEntry(
              name,
              "10.120.%d.%d:18080".formatted(100 + i / 250, i % 250),
              "fortaleza",
              "rack-%04d".formatted(i / 4),
              "tee-time-booking-%03d".formatted(i % 336),
              VmPhase.REBOOTING,
              DrainPurpose.MAINTENANCE,
              "clubdesk-%03d".formatted(i % 336),
              "monthly-kernel",
              1_000_000 + i,
              1_800_000_000_000L + i));
    }
    final WaveProgress wave =
        new WaveProgress(
            "monthly-kernel", 3, 1L, vms.keySet(), Set.of("fairway-vm-0000"), true, 2L, 3L, 4);
    return new FleetDocument(7, "entry-recife-1", vms, Map.of("monthly-kernel", wave));
  }
}
