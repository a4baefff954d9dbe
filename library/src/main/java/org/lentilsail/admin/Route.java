package org.lentilsail.admin;

import com.fasterxml.jackson.databind.JsonNode;

/** Handles the requests for one path and method on a worker thread. */
interface Route {
  /**
   * Handles a request; failures are reported as {@code LentilsailException}.
   *
   * @param request the request
   * @return body of the response
   */
  JsonNode handle(AdminRequest request);
}
