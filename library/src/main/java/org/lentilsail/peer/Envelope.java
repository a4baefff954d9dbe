package org.lentilsail.peer;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A message that has arrived, before its content is read.
 *
 * @param type type of the message
 * @param request number of the request that asks for a reply, 0 for none
 * @param reply number of the request that this replies to, 0 for none
 * @param content the whole map
 */
record Envelope(String type, long request, long reply, ObjectNode content) {}
