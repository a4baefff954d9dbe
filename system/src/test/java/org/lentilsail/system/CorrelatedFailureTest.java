package org.lentilsail.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards the fleet against a maintenance that breaks one VM after the other. */
class CorrelatedFailureTest {
  /** Guards against a wave that goes on over failures, and against a resume without effect. */
  @Test
  void haltsUntilOperatorResumes() throws Exception {
    try (FleetFixture guarded = new FleetFixture()) {
      for (final VmPlan vm : guarded.fleet.plan().vms()) {
        failAfterReboot(guarded, vm.vm(), "close-before");
      }
      guarded.startWave(
          "{\"pools\":[\"fees\"],\"maxParallel\":4,\"haltAfterFailures\":1,"
              + "\"returnLimitSeconds\":4}");
      guarded.awaitWave("halted", FleetFixture.WAIT_LIMIT);
      assertThat("VMs that rebooted", reboots(guarded), is(1L));
      for (final VmPlan vm : guarded.fleet.plan().vms()) {
        failAfterReboot(guarded, vm.vm(), "none");
        guarded.backend(vm.vm(), "POST", "failure", failure("none"));
      }
      Thread.sleep(Duration.ofSeconds(3).toMillis());
      assertThat(guarded.wave().path("state").asText(), is("halted"));
      assertThat("VMs that rebooted", reboots(guarded), is(1L));
      final CliResult resumed = guarded.fleet.cli("resume", "monthly");
      assertThat(resumed.output(), resumed.exitCode(), is(0));
      guarded.awaitWave("finished", FleetFixture.WAIT_LIMIT);
      guarded.check();
    }
  }

  private static void failAfterReboot(
      final FleetFixture guarded, final String vm, final String mode) throws Exception {
    guarded.backend(vm, "POST", "failure-after-reboot", failure(mode));
  }

  private static String failure(final String mode) {
    return "{\"mode\":\"" + mode + "\",\"share\":1,\"delayMillis\":0}";
  }

  private static long reboots(final FleetFixture guarded) throws Exception {
    long result = 0;
    for (final VmPlan vm : guarded.fleet.plan().vms()) {
      result += guarded.backend(vm.vm(), "GET", "status", "").path("bootGeneration").asLong() - 1;
    }
    return result;
  }
}
