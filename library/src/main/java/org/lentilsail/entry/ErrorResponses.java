package org.lentilsail.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.lentilsail.http.HttpField;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;

/** Builds the error responses that lentilsail sends in place of a response of a backend server. */
public final class ErrorResponses {
  private static final ObjectMapper JSON = new ObjectMapper();

  private ErrorResponses() {}

  /**
   * Builds the response for an error.
   *
   * @param error the error; an unexpected type counts as an internal error
   * @param outcome whether the request ran
   * @return the response with the code, the message and the remedy
   */
  public static EntryResponse of(final Throwable error, final Outcome outcome) {
    final EntryResponse result;
    if (error instanceof LentilsailException typed) {
      result = of(typed.code(), typed.getMessage(), typed.remedy(), outcome);
    } else {
      result =
          of(
              ErrorCode.INTERNAL,
              "unexpected error: " + error,
              "report the log of this daemon to its developers",
              outcome);
    }
    return result;
  }

  /**
   * Builds an error response.
   *
   * @param code kind of the error
   * @param message what happened
   * @param remedy what the caller can do
   * @param outcome whether the request ran
   * @return the response
   */
  public static EntryResponse of(
      final ErrorCode code, final String message, final String remedy, final Outcome outcome) {
    final String body =
        JSON.createObjectNode()
            .put("code", code.text())
            .put("message", message)
            .put("remedy", remedy)
            .toString();
    return new EntryResponse(
        outcome,
        code.httpStatus(),
        List.of(new HttpField("Content-Type", "application/json")),
        (body + "\n").getBytes(StandardCharsets.UTF_8));
  }
}
