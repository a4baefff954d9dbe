package org.lentilsail.admin;

import com.fasterxml.jackson.databind.JsonNode;

/** Handles one path and method on a worker thread. */
interface Route {
  /**
   * Handles a request; a failure is an exception with a code.
   *
   * @param request the request
   * @return body of the response
   */
  JsonNode handle(AdminRequest request);
}
