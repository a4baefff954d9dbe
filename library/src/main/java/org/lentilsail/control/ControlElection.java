package org.lentilsail.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.lentilsail.model.fleet.FleetDocument;
import org.lentilsail.platform.PlatformClient;
import org.lentilsail.platform.VersionedValue;
import org.lentilsail.platform.WriteResult;
import org.lentilsail.policy.control.ControllerState;

/**
 * Acquires leadership of fleet control: writes the leader's key under a lease, then the fleet
 * document with the next epoch.
 */
final class ControlElection {
  private final PlatformClient platform;
  private final FleetFormat format;
  private final String self;
  private final String leaderKey;
  private final String fleetKey;

  /**
   * Creates an election.
   *
   * @param platform the platform
   * @param format format of the fleet document
   * @param self id of this daemon
   * @param region region that is controlled
   */
  ControlElection(
      final PlatformClient platform,
      final FleetFormat format,
      final String self,
      final String region) {
    this.platform = platform;
    this.format = format;
    this.self = self;
    this.leaderKey = "control/holder/" + region;
    this.fleetKey = "control/fleet/" + region;
  }

  /**
   * Returns the key of the fleet document.
   *
   * @return the key
   */
  String fleetKey() {
    return fleetKey;
  }

  /**
   * Tries to become the leader. After a lost reply the future fails, and the next attempt
   * determines from the lease in the leader's key whether the write took effect.
   *
   * @param lease id of this daemon's lease
   * @return the term, empty when another daemon is the leader
   */
  CompletableFuture<Optional<ControlTerm>> attempt(final String lease) {
    final ObjectNode value = JsonNodeFactory.instance.objectNode();
    value.put("holder", self).put("lease", lease);
    return platform
        .compareAndSet(leaderKey, 0, value, Optional.of(lease))
        .thenCompose(
            claim ->
                claim.written() || claim.current().filter(held -> owns(held, lease)).isPresent()
                    ? writeNextEpoch(lease)
                    : CompletableFuture.completedFuture(Optional.empty()));
  }

  private static boolean owns(final VersionedValue held, final String lease) {
    return held.value().path("lease").asText().equals(lease);
  }

  private CompletableFuture<Optional<ControlTerm>> writeNextEpoch(final String lease) {
    return platform
        .get(fleetKey)
        .thenCompose(
            stored -> {
              final FleetDocument old =
                  stored.map(value -> format.read(value.value())).orElse(FleetDocument.empty());
              final FleetDocument next =
                  new FleetDocument(old.epoch() + 1, self, old.vms(), old.waves());
              final long revision = stored.map(VersionedValue::revision).orElse(0L);
              final JsonNode json = format.write(next);
              return platform
                  .compareAndSet(fleetKey, revision, json, Optional.empty())
                  .thenApply(write -> term(lease, next, write));
            });
  }

  private static Optional<ControlTerm> term(
      final String lease, final FleetDocument document, final WriteResult write) {
    return write.written()
        ? Optional.of(new ControlTerm(lease, document, write.revision(), new ControllerState()))
        : Optional.empty();
  }
}
