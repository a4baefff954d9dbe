package org.lentilsail.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import org.lentilsail.http.HttpCall;
import org.lentilsail.http.HttpCallException;
import org.lentilsail.http.HttpCaller;
import org.lentilsail.http.HttpFailure;
import org.lentilsail.http.HttpResponse;

/** Polls the VMs and executes operations on them through their own HTTP interfaces. */
final class VmClient {
  /** Timeout of a request to a VM. */
  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  /** Maximum size of a response of a VM in bytes. */
  private static final int MAX_RESPONSE_BYTES = 64 * 1024;

  private static final ObjectMapper JSON = new ObjectMapper();

  private final HttpCaller http;

  private final VmTable table;

  /** VMs with a poll in flight; a slow VM is polled once at a time. */
  private final Set<String> pollsInFlight = ConcurrentHashMap.newKeySet();

  VmClient(final HttpCaller http, final VmTable table) {
    this.http = http;
    this.table = table;
  }

  void poll(final VmSettings vm) {
    if (pollsInFlight.add(vm.vm())) {
      final boolean worker = vm.role().equals(VmSettings.WORKER);
      call(vm, "GET", worker ? "/standin/status" : "/live")
          .whenComplete(
              (response, failure) -> {
                pollsInFlight.remove(vm.vm());
                if (worker) {
                  observeWorker(vm, response);
                } else {
                  observeEntry(vm, failure);
                }
              });
    }
  }

  CompletableFuture<HttpResponse> operate(final VmSettings vm, final String operation) {
    return call(vm, "POST", "/standin/" + operation);
  }

  private void observeWorker(final VmSettings vm, final HttpResponse response) {
    if (response == null || response.status() != 200) {
      table.recordNoResponse(vm.vm());
      return;
    }
    try {
      final JsonNode status = JSON.readTree(response.body());
      table.recordStatus(
          vm.vm(),
          status.path("running").asInt(),
          status.path("draining").asBoolean(),
          status.path("bootGeneration").asLong());
    } catch (final IOException error) {
      table.recordNoResponse(vm.vm());
    }
  }

  /**
   * Treats an entry VM as unresponsive only when nothing listens at its address. A paused daemon
   * still listens, and reporting it as gone would break the guarantee that the daemon of an entry
   * VM that is gone has ended.
   */
  private void observeEntry(final VmSettings vm, final Throwable failure) {
    final Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (cause instanceof HttpCallException error && error.failure() == HttpFailure.CONNECT) {
      table.recordNoResponse(vm.vm());
    } else {
      table.recordStatus(vm.vm(), 0, false, 0);
    }
  }

  private CompletableFuture<HttpResponse> call(
      final VmSettings vm, final String method, final String path) {
    final int colon = vm.address().lastIndexOf(':');
    final InetSocketAddress target =
        new InetSocketAddress(
            vm.address().substring(0, colon), Integer.parseInt(vm.address().substring(colon + 1)));
    return http.call(
        new HttpCall(target, method, path, List.of(), new byte[0], TIMEOUT, MAX_RESPONSE_BYTES));
  }
}
