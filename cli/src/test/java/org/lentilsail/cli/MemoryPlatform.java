package org.lentilsail.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.lang.reflect.Proxy;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.platform.Listing;
import org.lentilsail.platform.PlatformClient;
import org.lentilsail.platform.VersionedValue;
import org.lentilsail.platform.WriteResult;

/** In-memory platform key-value service that can be unavailable or lose the replies to writes. */
final class MemoryPlatform {
  /** Whether all calls fail as if the platform were unavailable. */
  volatile boolean down;

  /** Whether writes take effect but fail with an unknown outcome. */
  volatile boolean losesReplies;

  private final Map<String, VersionedValue> values = new TreeMap<>();
  private long revision;

  /** Returns a client; methods that the operators' interface does not use are unsupported. */
  PlatformClient client() {
    return (PlatformClient)
        Proxy.newProxyInstance(
            PlatformClient.class.getClassLoader(),
            new Class<?>[] {PlatformClient.class},
            (proxy, method, args) -> call(method.getName(), args));
  }

  private synchronized CompletableFuture<?> call(final String method, final Object... args) {
    if (down) {
      return failed(ErrorCode.PLATFORM_UNAVAILABLE);
    }
    final Object result =
        switch (method) {
          case "get" -> Optional.ofNullable(values.get(args[0]));
          case "list" -> new Listing(List.copyOf(values.values()), revision);
          case "compareAndSet" ->
              write((String) args[0], (Long) args[1], Optional.of((JsonNode) args[2]));
          case "delete" -> write((String) args[0], (Long) args[1], Optional.empty());
          default -> throw new UnsupportedOperationException(method);
        };
    return losesReplies && result instanceof WriteResult
        ? failed(ErrorCode.OUTCOME_UNKNOWN)
        : CompletableFuture.completedFuture(result);
  }

  private WriteResult write(final String key, final long expected, final Optional<JsonNode> value) {
    final Optional<VersionedValue> current = Optional.ofNullable(values.get(key));
    final long currentRevision = current.map(VersionedValue::revision).orElse(0L);
    if (currentRevision != expected) {
      return new WriteResult(false, currentRevision, current);
    }
    revision++;
    value.ifPresentOrElse(
        json -> values.put(key, new VersionedValue(key, json, revision)), () -> values.remove(key));
    return new WriteResult(true, revision, Optional.empty());
  }

  private static CompletableFuture<Object> failed(final ErrorCode code) {
    return CompletableFuture.failedFuture(new LentilsailException(code, "fault", "repeat"));
  }
}
