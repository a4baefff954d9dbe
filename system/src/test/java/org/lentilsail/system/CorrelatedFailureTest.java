package org.lentilsail.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against a maintenance wave that makes one VM after the other fail. */
class CorrelatedFailureTest {
  /**
   * Guards against a wave that continues after a VM has failed to return from its reboot, and
   * against a resume command without effect.
   */
  @Test
  void waveHaltsUntilOperatorResumes() throws Exception {
    try (FleetFixture fixture = new FleetFixture()) {
      for (final VmPlan vm : fixture.fleet.plan().vms()) {
        setFailureAfterReboot(fixture, vm.vm(), "close-before");
      }
      fixture.startWave(
          "{\"pools\":[\"fees\"],\"maxParallel\":4,\"haltAfterFailures\":1,"
              + "\"returnLimitSeconds\":4}");
      fixture.awaitWave("halted", FleetFixture.WAIT_LIMIT);
      assertThat("VMs that rebooted", reboots(fixture), is(1L));
      for (final VmPlan vm : fixture.fleet.plan().vms()) {
        setFailureAfterReboot(fixture, vm.vm(), "none");
        fixture.backend(vm.vm(), "POST", "failure", failure("none"));
      }
      Thread.sleep(Duration.ofSeconds(3).toMillis());
      assertThat(fixture.wave().path("state").asText(), is("halted"));
      assertThat("VMs that rebooted", reboots(fixture), is(1L));
      final CliResult resumed = fixture.fleet.cli("resume", "monthly");
      assertThat(resumed.output(), resumed.exitCode(), is(0));
      fixture.awaitWave("finished", FleetFixture.WAIT_LIMIT);
      fixture.check();
    }
  }

  private static void setFailureAfterReboot(
      final FleetFixture fixture, final String vm, final String mode) throws Exception {
    fixture.backend(vm, "POST", "failure-after-reboot", failure(mode));
  }

  private static String failure(final String mode) {
    return "{\"mode\":\"" + mode + "\",\"share\":1,\"delayMillis\":0}";
  }

  private static long reboots(final FleetFixture fixture) throws Exception {
    long result = 0;
    for (final VmPlan vm : fixture.fleet.plan().vms()) {
      result += fixture.backend(vm.vm(), "GET", "status", "").path("bootGeneration").asLong() - 1;
    }
    return result;
  }
}
