package org.lentilsail.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.lentilsail.http.HttpResponse;
import org.lentilsail.standin.process.Await;

/**
 * Guards the property that an accepted configuration is in effect on all daemons within 2 s and is
 * never reverted to an earlier one.
 */
class AcceptedConfigurationTest {
  private static final long PROPAGATION_LIMIT_MILLIS = 2_000;
  private static final int ROUNDS = 7;
  private static FleetFixture fixture;

  @BeforeAll
  static void start() throws Exception {
    fixture = new FleetFixture();
  }

  @AfterAll
  static void stop() throws Exception {
    try (FleetFixture fixtureToClose = fixture) {
      fixtureToClose.check();
    }
  }

  /** Guards against daemons that use an outdated configuration or revert to an earlier one. */
  @Test
  void isInEffectOnAllDaemonsWithinLimit() throws Exception {
    final List<String> services = new ArrayList<>();
    long maxMillis = 0;
    for (int round = 0; round < ROUNDS; round++) {
      final String name = "extra-" + round;
      final String writer = fixture.fleet.plan().entries().get(round).id();
      acceptedRevision(put(writer, "service", name, 0, "{\"pool\":\"booking\"}"));
      final long start = System.nanoTime();
      services.add(name);
      Await.until(
          name + " everywhere", FleetFixture.WAIT_LIMIT, () -> missing(List.of(name)).isEmpty());
      maxMillis = Math.max(maxMillis, Duration.ofNanos(System.nanoTime() - start).toMillis());
      assertThat("earlier services", missing(services), is(empty()));
    }
    System.out.println("in effect on 7 daemons after at most " + maxMillis + " ms");
    assertThat(maxMillis, lessThan(PROPAGATION_LIMIT_MILLIS));
  }

  /** Guards against a lost update when two operators write the same record concurrently. */
  @Test
  void reportsConflictToOneOfTwoConcurrentEditors() throws Exception {
    long revision = acceptedRevision(put("e1", "pool", "raced", 0, "{\"minimumVms\":0}"));
    for (int round = 1; round <= ROUNDS; round++) {
      final long base = revision;
      final String first = "{\"minimumVms\":" + round + ",\"maximumVms\":" + (round + 10) + "}";
      final String second = "{\"minimumVms\":" + round + ",\"maximumVms\":" + (round + 50) + "}";
      final CompletableFuture<JsonNode> secondWrite =
          CompletableFuture.supplyAsync(() -> put("e2", "pool", "raced", base, second));
      final JsonNode firstResponse = put("e3", "pool", "raced", base, first);
      final JsonNode secondResponse = secondWrite.join();
      final boolean firstAccepted = firstResponse.path("outcome").asText().equals("accepted");
      final JsonNode rejected = firstAccepted ? secondResponse : firstResponse;
      revision = acceptedRevision(firstAccepted ? firstResponse : secondResponse);
      assertThat(rejected.toString(), rejected.path("code").asText(), is("conflict"));
      assertThat(rejected.toString(), containsString("\"revision\":" + revision));
      final JsonNode stored = fixture.admin("e4", "GET", "/v1/records/pool/raced", "");
      assertThat(
          stored.findPath("maximumVms").asInt(), is(firstAccepted ? round + 10 : round + 50));
    }
  }

  /**
   * Guards against a write that is reported as failed, or applied twice, because the platform's
   * reply to it is lost.
   */
  @Test
  void appliesWriteOnceWhenRepliesAreLost() throws Exception {
    final String daemon = "e5";
    acceptedRevision(put("e1", "pool", "lossy", 0, "{\"minimumVms\":0}"));
    final long before = platformValue("lossy").path("revision").asLong();
    fixture.platformFault(daemon, "lose-write-replies");
    final CompletableFuture<JsonNode> response =
        CompletableFuture.supplyAsync(
            () -> put(daemon, "pool", "lossy", before, "{\"minimumVms\":1}"));
    Await.until(
        "the effect of the write",
        Duration.ofSeconds(3),
        () -> platformValue("lossy").path("revision").asLong() > before);
    final long after = platformValue("lossy").path("revision").asLong();
    fixture.platformFault(daemon, "ok");
    assertThat(acceptedRevision(response.join()), is(after));
    final JsonNode stored = platformValue("lossy");
    assertThat(stored.path("revision").asLong(), is(after));
    assertThat(stored.findPath("earlierMarks").size(), is(1));
  }

  /**
   * Guards against a daemon that needs the platform to start although a peer has the configuration,
   * and against one that serves requests without any configuration.
   */
  @Test
  void loadsConfigurationFromPeersAndRejectsRequestsWithoutOne() throws Exception {
    fixture.load.expectClosedConnections("e3");
    fixture.load.expectClosedConnections("e6");
    fixture.load.expectClosedConnections("e7");
    fixture.platformFault("*", "down");
    try {
      fixture.fleet.entry("e7").kill();
      fixture.fleet.startEntry("e7");
      fixture.fleet.awaitReady("e7");
      assertThat(call("e7", "booking").status(), is(200));
      fixture.fleet.entry("e3").kill();
      fixture.fleet.entry("e6").kill();
      fixture.fleet.links().cutPeers("salvador", true);
      fixture.fleet.startEntry("e3");
      fixture.fleet.awaitLive("e3");
      final HttpResponse rejected = call("e3", "booking");
      assertThat(rejected.field("Lentilsail-Outcome").orElse(""), is("not-run"));
      assertThat(
          new String(rejected.body(), StandardCharsets.UTF_8), containsString("no-configuration"));
    } finally {
      fixture.fleet.links().cutPeers("salvador", false);
      fixture.platformFault("*", "ok");
      if (!fixture.fleet.entry("e6").isAlive()) {
        fixture.fleet.startEntry("e6");
      }
    }
    fixture.fleet.awaitReady("e3");
    fixture.fleet.awaitReady("e6");
  }

  private static JsonNode put(
      final String daemon,
      final String kind,
      final String name,
      final long revision,
      final String spec) {
    try {
      return fixture.admin(
          daemon,
          "PUT",
          "/v1/records/" + kind + "/" + name + "?expectedRevision=" + revision,
          "{\"kind\":\""
              + kind
              + "\",\"schemaVersion\":2,\"name\":\""
              + name
              + "\",\"spec\":"
              + spec
              + "}");
    } catch (final java.io.IOException error) {
      throw new java.io.UncheckedIOException(error);
    }
  }

  private static long acceptedRevision(final JsonNode response) {
    assertThat(response.toString(), response.path("outcome").asText(), is("accepted"));
    return response.path("revision").asLong();
  }

  private static JsonNode platformValue(final String pool) throws Exception {
    return fixture
        .fleet
        .httpClient()
        .json(fixture.fleet.addresses().platformPort(), "GET", "/v1/kv/config/pool/" + pool, "");
  }

  private static HttpResponse call(final String daemon, final String service) {
    return fixture
        .fleet
        .httpClient()
        .send(
            fixture.fleet.addresses().callerPorts().get(daemon),
            "GET",
            "/" + service + "/x",
            List.of(),
            "",
            Duration.ofSeconds(5));
  }

  private static List<String> missing(final List<String> services) {
    final List<String> result = new ArrayList<>();
    for (final EntryPlan entry : fixture.fleet.plan().entries()) {
      for (final String service : services) {
        if (call(entry.id(), service).status() != 200) {
          result.add(service + " on " + entry.id());
        }
      }
    }
    return result;
  }
}
