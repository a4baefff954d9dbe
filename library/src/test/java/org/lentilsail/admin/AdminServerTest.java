package org.lentilsail.admin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lentilsail.acceptance.OperatorCommands;
import org.lentilsail.acceptance.RecordService;
import org.lentilsail.acceptance.ScriptedPlatform;
import org.lentilsail.config.ConfigurationSnapshot;
import org.lentilsail.config.ConfigurationView;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.fleet.DrainPurpose;
import org.lentilsail.model.fleet.FleetDocument;
import org.lentilsail.model.fleet.VmEntry;
import org.lentilsail.model.fleet.VmPhase;
import org.lentilsail.model.fleet.WaveProgress;
import org.lentilsail.model.json.JsonText;
import org.lentilsail.model.record.BudgetSpec;
import org.lentilsail.model.record.HoldSpec;
import org.lentilsail.model.record.PoolSpec;
import org.lentilsail.model.record.Records;
import org.lentilsail.model.record.ResumeMode;
import org.lentilsail.model.record.ServiceSpec;
import org.lentilsail.model.record.WaveSpec;
import org.lentilsail.model.time.ManualTimeSource;

/** Guards against errors without a code, and against readiness that depends on the platform. */
class AdminServerTest {
  private static final String POOL =
      "{\"kind\":\"pool\",\"schemaVersion\":1,\"name\":\"green\",\"spec\":{}}";

  private final ScriptedPlatform platform = new ScriptedPlatform();
  private final HttpClient client = HttpClient.newHttpClient();
  private volatile Optional<String> condition = Optional.empty();
  private AdminServer server;

  @BeforeEach
  void start() {
    final ManualTimeSource time = new ManualTimeSource(0);
    final RecordService records = new RecordService(platform, time, time::advance);
    final PrometheusRegistry metrics = new PrometheusRegistry();
    Counter.builder().name("requests_total").help("Requests.").register(metrics).inc();
    final ConfigurationView view = view();
    server =
        new AdminServer(
            new InetSocketAddress("127.0.0.1", 0),
            new AdminComponents(
                records,
                new OperatorCommands(records, (vm, reason) -> {}),
                view,
                new SnapshotExplainer(view),
                metrics,
                List.of(check()),
                () -> !platform.down,
                List.of(source())));
  }

  @AfterEach
  void stop() {
    server.close();
  }

  /** Guards against wrong statuses or codes, by which clients distinguish errors. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "GET|/nothing|404|not-found",
        "POST|/v1/records|405|invalid-input",
        "GET|/v1/records/pool/none|404|not-found",
        "GET|/v1/records/court/none|404|not-found",
        "GET|/v1/records/pool/NONE|400|invalid-input",
        "GET|/v1/records/pool/none?schemaVersion=9|400|invalid-input",
        "PUT|/v1/records/pool/green|400|invalid-input",
        "PUT|/v1/records/pool/green?expectedRevision=x|400|invalid-input",
        "PUT|/v1/records/pool/green?expectedRevision=0|400|invalid-input",
        "PUT|/v1/records/pool/other?expectedRevision=0|400|invalid-input",
        "PUT|/v1/records/pool/green?expectedRevision=4|409|conflict",
        "POST|/v1/vms/none/drain|404|not-found",
        "POST|/v1/vms/vm-1/drain|400|invalid-input",
        "POST|/v1/vms/vm-1/return|404|not-found",
        "POST|/v1/waves/none/pause|404|not-found",
        "GET|/v1/explain/vm/none|404|not-found",
        "GET|/v1/waves/none|404|not-found"
      })
  void answersWithTypedError(
      final String method, final String path, final int status, final String code)
      throws Exception {
    final String body = path.contains("other") || path.contains("=4") ? POOL : "{\"a\": ";
    final HttpResponse<String> response = send(method, path, body);
    assertThat(response.body(), json(response).path("code").asText(), is(code));
    assertThat(response.statusCode(), is(status));
    assertThat(json(response).path("message").asText().isEmpty(), is(false));
    assertThat(json(response).path("remedy").asText().isEmpty(), is(false));
  }

  /** Guards against request bodies that exhaust the memory of the daemon. */
  @Test
  void rejectsBodyOverTheLimit() throws Exception {
    final HttpResponse<String> response =
        send(
            "PUT",
            "/v1/records/pool/green?expectedRevision=0",
            " ".repeat(AdminRequest.BODY_LIMIT_BYTES + 1));
    assertThat(response.statusCode(), is(413));
    assertThat(json(response).path("code").asText(), is("too-large"));
  }

  /** Guards against responses that lack the data to repeat a write or to resolve a conflict. */
  @Test
  void writesAndReportsConflict() throws Exception {
    final HttpResponse<String> first =
        send("PUT", "/v1/records/pool/green?expectedRevision=0&mark=m1", POOL);
    assertThat(
        json(first),
        is(
            parse(
                "{\"outcome\":\"accepted\",\"record\":\"pool/green\",\"revision\":1,"
                    + "\"changed\":true,\"mark\":\"m1\"}")));
    final JsonNode conflict =
        json(send("PUT", "/v1/records/pool/green?expectedRevision=0&mark=m2", POOL));
    assertThat(conflict.path("revision").asLong(), is(1L));
    assertThat(conflict.path("current").path("name").asText(), is("green"));
    platform.down = true;
    assertThat(send("GET", "/v1/records", "").statusCode(), is(503));
  }

  /** Guards against a platform outage that removes every daemon from the load balancer. */
  @Test
  void staysReadyWithoutThePlatform() throws Exception {
    platform.down = true;
    final HttpResponse<String> ready = send("GET", "/ready", "");
    assertThat(ready.statusCode(), is(200));
    assertThat(
        ready.body(),
        is(
            "{\"ready\":true,\"conditions\":{\"configuration\":\"ok\"},"
                + "\"platform\":\"unreachable\"}"));
    condition = Optional.of("no snapshot yet");
    assertThat(send("GET", "/ready", "").statusCode(), is(503));
    assertThat(send("GET", "/live", "").statusCode(), is(200));
  }

  /** Guards against incomplete explanations, state dumps and metrics. */
  @Test
  void showsState() throws Exception {
    assertThat(
        send("GET", "/v1/explain/vm/vm-1", "").body(),
        is(
            "{\"vm\":\"vm-1\",\"pool\":\"green\",\"availabilityZone\":\"z\","
                + "\"phase\":\"draining\",\"purpose\":\"maintenance\",\"sinceMillis\":5,"
                + "\"because\":[\"Wave kernel maintains the VM.\","
                + "\"Hold vm-1 waits for the budget: disk\","
                + "\"The budget of service tee is spent: 1 of 1 VMs that may be unavailable in"
                + " pool green.\"],\"budgets\":[{\"service\":\"tee\",\"pool\":\"green\","
                + "\"vms\":2,\"unavailable\":1,\"allowed\":1}]}"));
    assertThat(
        send("GET", "/v1/waves/kernel", "").body(),
        is(
            "{\"wave\":\"kernel\",\"run\":1,\"state\":\"runs\",\"vms\":2,\"done\":1,"
                + "\"waiting\":0,\"active\":[\"vm-1\"],\"failed\":[],\"startedMillis\":1,"
                + "\"finishedMillis\":0}"));
    assertThat(send("GET", "/v1/state", "").body(), is("{\"part\":{\"n\":1}}"));
    assertThat(send("GET", "/metrics", "").body(), containsString("requests_total 1.0"));
    assertThat(json(send("GET", "/v1/fleet", "")).path("revision").asLong(), is(7L));
  }

  private HttpResponse<String> send(final String method, final String path, final String body)
      throws Exception {
    return client.send(
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.address().getPort() + path))
            .timeout(Duration.ofSeconds(30))
            .method(method, HttpRequest.BodyPublishers.ofString("GET".equals(method) ? "" : body))
            .build(),
        HttpResponse.BodyHandlers.ofString());
  }

  private static JsonNode json(final HttpResponse<String> response) {
    return parse(response.body());
  }

  private static JsonNode parse(final String text) {
    return JsonText.parse(text, "response", ErrorCode.INTERNAL);
  }

  private ReadinessCheck check() {
    return new ReadinessCheck() {
      @Override
      public String checkName() {
        return "configuration";
      }

      @Override
      public Optional<String> failure() {
        return condition;
      }
    };
  }

  private static StateSource source() {
    return new StateSource() {
      @Override
      public String stateName() {
        return "part";
      }

      @Override
      public JsonNode state() {
        return JsonNodeFactory.instance.objectNode().put("n", 1);
      }
    };
  }

  private static ConfigurationView view() {
    final VmEntry first =
        new VmEntry(
            "vm-1",
            "h:1",
            "z",
            "r",
            "green",
            VmPhase.DRAINING,
            DrainPurpose.MAINTENANCE,
            "",
            "kernel",
            1,
            5);
    final VmEntry second = VmEntry.inService("vm-2", "h:2", "z", "r", "green", 1, 5);
    final Records records =
        new Records(
            Map.of("green", new PoolSpec("green", false, 0, 0, "")),
            Map.of("tee", new ServiceSpec("tee", "green", "/", 1, 1, 1, Map.of())),
            Map.of("tee", new BudgetSpec("tee", "tee", 1, -1, 0)),
            Map.of(
                "kernel",
                new WaveSpec(
                    "kernel", List.of("green"), 1, 1, 2, ResumeMode.OPERATOR, false, 1, 1, 0, 0)),
            Map.of("vm-1", new HoldSpec("vm-1", "vm-1", false, "disk")));
    final WaveProgress progress =
        new WaveProgress("kernel", 1, 1, Set.of("vm-2"), Set.of(), false, 1, 0, 0);
    final ConfigurationSnapshot snapshot =
        new ConfigurationSnapshot(
            9,
            records,
            new FleetDocument(
                1, "entry-1", Map.of("vm-1", first, "vm-2", second), Map.of("kernel", progress)),
            7,
            Map.of());
    return new ConfigurationView() {
      @Override
      public ConfigurationSnapshot current() {
        return snapshot;
      }

      @Override
      public void onChange(final Consumer<ConfigurationSnapshot> listener) {}
    };
  }
}
