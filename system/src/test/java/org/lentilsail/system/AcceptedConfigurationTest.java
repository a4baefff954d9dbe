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

/** Guards P8: an accepted configuration is in force everywhere in time and never reverts. */
class AcceptedConfigurationTest {
  private static final long BOUND_MILLIS = 2_000;
  private static final int ROUNDS = 7;
  private static FleetFixture guarded;

  @BeforeAll
  static void start() throws Exception {
    guarded = new FleetFixture();
  }

  @AfterAll
  static void stop() throws Exception {
    try (FleetFixture ending = guarded) {
      ending.check();
    }
  }

  /** Guards against daemons that serve an old configuration, or go back to one. */
  @Test
  void isInForceOnAllDaemonsWithinBound() throws Exception {
    final List<String> services = new ArrayList<>();
    long worst = 0;
    for (int round = 0; round < ROUNDS; round++) {
      final String name = "extra-" + round;
      final String writer = guarded.fleet.plan().entries().get(round).id();
      accepted(put(writer, "service", name, 0, "{\"pool\":\"booking\"}"));
      final long start = System.nanoTime();
      services.add(name);
      Await.until(
          name + " everywhere", FleetFixture.WAIT_LIMIT, () -> missing(List.of(name)).isEmpty());
      worst = Math.max(worst, Duration.ofNanos(System.nanoTime() - start).toMillis());
      assertThat("services that were in force before", missing(services), is(empty()));
    }
    System.out.println("in force on 7 daemons after at most " + worst + " ms");
    assertThat(worst, lessThan(BOUND_MILLIS));
  }

  /** Guards against an edit that is lost when two operators write at the same time. */
  @Test
  void keepsBothEditsOfRacingOperators() throws Exception {
    long revision = accepted(put("e1", "pool", "raced", 0, "{\"minimumVms\":0}"));
    for (int round = 1; round <= ROUNDS; round++) {
      final long base = revision;
      final String first = "{\"minimumVms\":" + round + ",\"maximumVms\":" + (round + 10) + "}";
      final String second = "{\"minimumVms\":" + round + ",\"maximumVms\":" + (round + 50) + "}";
      final CompletableFuture<JsonNode> other =
          CompletableFuture.supplyAsync(() -> put("e2", "pool", "raced", base, second));
      final JsonNode mine = put("e3", "pool", "raced", base, first);
      final JsonNode theirs = other.join();
      final boolean won = mine.path("outcome").asText().equals("accepted");
      final JsonNode loser = won ? theirs : mine;
      revision = accepted(won ? mine : theirs);
      assertThat(loser.toString(), loser.path("code").asText(), is("conflict"));
      assertThat(loser.toString(), containsString("\"revision\":" + revision));
      final JsonNode stored = guarded.admin("e4", "GET", "/v1/records/pool/raced", "");
      assertThat(stored.findPath("maximumVms").asInt(), is(won ? round + 10 : round + 50));
    }
  }

  /** Guards against a write that is reported as failed, or takes effect twice, without a reply. */
  @Test
  void acceptsOnceWhenRepliesAreLost() throws Exception {
    final String daemon = "e5";
    accepted(put("e1", "pool", "lossy", 0, "{\"minimumVms\":0}"));
    final long before = platformValue("lossy").path("revision").asLong();
    guarded.platformFault(daemon, "lose-write-replies");
    final CompletableFuture<JsonNode> answer =
        CompletableFuture.supplyAsync(
            () -> put(daemon, "pool", "lossy", before, "{\"minimumVms\":1}"));
    Await.until(
        "the effect of the write",
        Duration.ofSeconds(3),
        () -> platformValue("lossy").path("revision").asLong() > before);
    final long after = platformValue("lossy").path("revision").asLong();
    guarded.platformFault(daemon, "ok");
    assertThat(accepted(answer.join()), is(after));
    final JsonNode stored = platformValue("lossy");
    assertThat(stored.path("revision").asLong(), is(after));
    assertThat(stored.findPath("earlierMarks").size(), is(1));
  }

  /** Guards against a daemon that needs the platform to start, or serves without configuration. */
  @Test
  void learnsFromPeersAndRefusesWithoutSource() throws Exception {
    guarded.load.expectClosedConnections("e3");
    guarded.load.expectClosedConnections("e6");
    guarded.load.expectClosedConnections("e7");
    guarded.platformFault("*", "down");
    try {
      guarded.fleet.entry("e7").kill();
      guarded.fleet.startEntry("e7");
      guarded.fleet.awaitReady("e7");
      assertThat(call("e7", "booking").status(), is(200));
      guarded.fleet.entry("e3").kill();
      guarded.fleet.entry("e6").kill();
      guarded.fleet.links().cutPeers("salvador", true);
      guarded.fleet.startEntry("e3");
      guarded.fleet.awaitLive("e3");
      final HttpResponse refused = call("e3", "booking");
      assertThat(refused.field("Lentilsail-Outcome").orElse(""), is("not-run"));
      assertThat(
          new String(refused.body(), StandardCharsets.UTF_8), containsString("no-configuration"));
    } finally {
      guarded.fleet.links().cutPeers("salvador", false);
      guarded.platformFault("*", "ok");
      if (!guarded.fleet.entry("e6").isAlive()) {
        guarded.fleet.startEntry("e6");
      }
    }
    guarded.fleet.awaitReady("e3");
    guarded.fleet.awaitReady("e6");
  }

  private static JsonNode put(
      final String daemon,
      final String kind,
      final String name,
      final long revision,
      final String spec) {
    try {
      return guarded.admin(
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

  private static long accepted(final JsonNode answer) {
    assertThat(answer.toString(), answer.path("outcome").asText(), is("accepted"));
    return answer.path("revision").asLong();
  }

  private static JsonNode platformValue(final String pool) throws Exception {
    return guarded
        .fleet
        .httpClient()
        .json(guarded.fleet.addresses().platformPort(), "GET", "/v1/kv/config/pool/" + pool, "");
  }

  private static HttpResponse call(final String daemon, final String service) {
    return guarded
        .fleet
        .httpClient()
        .send(
            guarded.fleet.addresses().callerPorts().get(daemon),
            "GET",
            "/" + service + "/x",
            List.of(),
            "",
            Duration.ofSeconds(5));
  }

  private static List<String> missing(final List<String> services) {
    final List<String> result = new ArrayList<>();
    for (final EntryPlan entry : guarded.fleet.plan().entries()) {
      for (final String service : services) {
        if (call(entry.id(), service).status() != 200) {
          result.add(service + " on " + entry.id());
        }
      }
    }
    return result;
  }
}
