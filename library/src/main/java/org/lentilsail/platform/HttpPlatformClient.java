package org.lentilsail.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;
import org.lentilsail.http.HttpCall;
import org.lentilsail.http.HttpCallException;
import org.lentilsail.http.HttpCaller;
import org.lentilsail.http.HttpField;
import org.lentilsail.http.HttpResponse;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;

/** Calls the platform over HTTP; thread-safe. */
public final class HttpPlatformClient implements PlatformClient {
  /** Default time limit of a call; a healthy platform answers in milliseconds. */
  public static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(1);

  /** Header field with the id of the calling daemon. */
  private static final String DAEMON_FIELD = "Lentilsail-Daemon";

  /** Time limit of a watch beyond its wait. */
  private static final Duration WATCH_MARGIN = Duration.ofSeconds(2);

  /** Maximum size of a reply in bytes; a list contains all values. */
  private static final int MAX_REPLY_BYTES = 64 * 1024 * 1024;

  private static final byte[] NO_BODY = new byte[0];

  private final HttpCaller http;
  private final InetSocketAddress platform;

  /** Header fields of each call. */
  private final List<HttpField> headerFields;

  /** Time limit of a call other than a watch. */
  private final Duration timeout;

  /**
   * Creates a client.
   *
   * @param http sends the calls; not closed by this object
   * @param platform address of the platform
   * @param daemon id of this daemon
   * @param timeout time limit of a call other than a watch
   */
  public HttpPlatformClient(
      final HttpCaller http,
      final InetSocketAddress platform,
      final String daemon,
      final Duration timeout) {
    this.http = http;
    this.platform = platform;
    this.headerFields = List.of(new HttpField(DAEMON_FIELD, daemon));
    this.timeout = timeout;
  }

  @Override
  public CompletableFuture<Optional<VersionedValue>> get(final String key) {
    return read(
        "/v1/kv/" + path(key),
        timeout,
        response ->
            switch (response.status()) {
              case PlatformReplies.OK ->
                  Optional.of(PlatformReplies.value(PlatformReplies.body(response)));
              case PlatformReplies.NOT_FOUND -> Optional.empty();
              default -> throw PlatformReplies.unexpected(response);
            });
  }

  @Override
  public CompletableFuture<Listing> list(final String prefix) {
    return read(
        "/v1/kv?prefix=" + encode(prefix),
        timeout,
        response -> PlatformReplies.listing(okBody(response)));
  }

  @Override
  public CompletableFuture<WriteResult> compareAndSet(
      final String key,
      final long expectedRevision,
      final JsonNode value,
      final Optional<String> lease) {
    return write(
        "PUT",
        "/v1/kv/"
            + path(key)
            + "?expectedRevision="
            + expectedRevision
            + lease.map(id -> "&lease=" + encode(id)).orElse(""),
        value.toString().getBytes(StandardCharsets.UTF_8),
        HttpPlatformClient::writeResult);
  }

  @Override
  public CompletableFuture<WriteResult> delete(final String key, final long expectedRevision) {
    return write(
        "DELETE",
        "/v1/kv/" + path(key) + "?expectedRevision=" + expectedRevision,
        NO_BODY,
        HttpPlatformClient::writeResult);
  }

  @Override
  public CompletableFuture<WatchResult> watch(
      final String prefix, final long afterRevision, final Duration wait) {
    return read(
        "/v1/watch?prefix="
            + encode(prefix)
            + "&after="
            + afterRevision
            + "&waitMillis="
            + wait.toMillis(),
        wait.plus(WATCH_MARGIN),
        response -> PlatformReplies.watchResult(okBody(response)));
  }

  @Override
  public CompletableFuture<String> grantLease(final Duration timeToLive) {
    return write(
        "POST",
        "/v1/leases?ttlMillis=" + timeToLive.toMillis(),
        NO_BODY,
        response -> okBody(response).path("lease").asText());
  }

  @Override
  public CompletableFuture<Boolean> keepAlive(final String lease) {
    return write(
        "POST",
        "/v1/leases/" + path(lease) + "/keepalive",
        NO_BODY,
        response -> isOk(response, PlatformReplies.NOT_FOUND));
  }

  @Override
  public CompletableFuture<Void> revokeLease(final String lease) {
    return write(
        "DELETE",
        "/v1/leases/" + path(lease),
        NO_BODY,
        response -> {
          okBody(response);
          return null;
        });
  }

  @Override
  public CompletableFuture<List<VmReport>> vms() {
    return read("/v1/vms", timeout, response -> PlatformReplies.vms(okBody(response)));
  }

  @Override
  public CompletableFuture<Boolean> operate(
      final String vm, final VmOperation operation, final long bootGeneration) {
    return write(
        "POST",
        "/v1/vms/" + path(vm) + "/" + operation.text() + "?bootGeneration=" + bootGeneration,
        NO_BODY,
        response -> isOk(response, PlatformReplies.CONFLICT));
  }

  @Override
  public void close() {
    // The HTTP client is closed by its creator, and there is nothing else to release.
  }

  private <T> CompletableFuture<T> read(
      final String path, final Duration limit, final Function<HttpResponse, T> reader) {
    return call("GET", path, NO_BODY, limit, reader, false);
  }

  private <T> CompletableFuture<T> write(
      final String method,
      final String path,
      final byte[] body,
      final Function<HttpResponse, T> reader) {
    return call(method, path, body, timeout, reader, true);
  }

  private <T> CompletableFuture<T> call(
      final String method,
      final String path,
      final byte[] body,
      final Duration limit,
      final Function<HttpResponse, T> reader,
      final boolean isWrite) {
    final CompletableFuture<HttpResponse> reply =
        http.call(new HttpCall(platform, method, path, headerFields, body, limit, MAX_REPLY_BYTES));
    final CompletableFuture<T> result = new CompletableFuture<>();
    reply.whenComplete(
        (response, failure) -> {
          try {
            if (failure != null) {
              throw callFailure(failure, isWrite);
            }
            result.complete(reader.apply(response));
          } catch (final LentilsailException error) {
            result.completeExceptionally(isWrite ? error : withoutEffect(error));
          } catch (final RuntimeException error) {
            result.completeExceptionally(callFailure(error, isWrite));
          }
        });
    result.whenComplete(
        (value, failure) -> {
          if (result.isCancelled()) {
            reply.cancel(true);
          }
        });
    return result;
  }

  private static LentilsailException callFailure(final Throwable failure, final boolean isWrite) {
    final Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    final boolean nothingSent = cause instanceof HttpCallException error && !error.written();
    return new LentilsailException(
        nothingSent || !isWrite ? ErrorCode.PLATFORM_UNAVAILABLE : ErrorCode.OUTCOME_UNKNOWN,
        "no reply from the platform: " + cause.getMessage(),
        "check that the platform runs; requests continue with the last configuration",
        cause);
  }

  /** Replaces an unknown outcome, because a read has no effect even if its reply is lost. */
  private static LentilsailException withoutEffect(final LentilsailException error) {
    return error.code() == ErrorCode.OUTCOME_UNKNOWN
        ? new LentilsailException(
            ErrorCode.PLATFORM_UNAVAILABLE, error.getMessage(), error.remedy(), error)
        : error;
  }

  private static JsonNode okBody(final HttpResponse response) {
    if (response.status() != PlatformReplies.OK) {
      throw PlatformReplies.unexpected(response);
    }
    return PlatformReplies.body(response);
  }

  private static WriteResult writeResult(final HttpResponse response) {
    return switch (response.status()) {
      case PlatformReplies.OK ->
          new WriteResult(
              true, PlatformReplies.body(response).path("revision").asLong(), Optional.empty());
      case PlatformReplies.CONFLICT -> PlatformReplies.conflict(PlatformReplies.body(response));
      default -> throw PlatformReplies.unexpected(response);
    };
  }

  /** Returns whether a call took effect; {@code noEffectStatus} confirms that it did not. */
  private static boolean isOk(final HttpResponse response, final int noEffectStatus) {
    if (response.status() != PlatformReplies.OK && response.status() != noEffectStatus) {
      throw PlatformReplies.unexpected(response);
    }
    return response.status() == PlatformReplies.OK;
  }

  private static String path(final String key) {
    return encode(key).replace("%2F", "/");
  }

  private static String encode(final String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
  }
}
