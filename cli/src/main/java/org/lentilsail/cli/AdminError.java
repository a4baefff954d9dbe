package org.lentilsail.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;

/** An error response of a daemon. */
final class AdminError extends LentilsailException {
  private final transient JsonNode response;

  /**
   * Creates an exception from a response.
   *
   * @param response body of the response
   */
  AdminError(final JsonNode response) {
    super(
        code(response.path("code").asText()),
        response.path("message").asText("the error response has no message"),
        response.path("remedy").asText("see the log of the daemon"));
    this.response = response;
  }

  /** Returns an error as JSON; an error response of a daemon is returned unchanged. */
  static JsonNode body(final LentilsailException error) {
    final JsonNode result;
    if (error instanceof AdminError remote) {
      result = remote.response;
    } else {
      final ObjectNode json = JsonNodeFactory.instance.objectNode();
      json.put("code", error.code().text());
      json.put("message", error.getMessage());
      json.put("remedy", error.remedy());
      result = json;
    }
    return result;
  }

  private static ErrorCode code(final String text) {
    return Arrays.stream(ErrorCode.values())
        .filter(code -> code.text().equals(text))
        .findFirst()
        .orElse(ErrorCode.INTERNAL);
  }
}
