package org.lentilsail.peer;

/**
 * A message that has arrived, before its content is read.
 *
 * @param type type of the message
 * @param request number of the request that asks for a reply, 0 for none
 * @param reply number of the request that this replies to, 0 for none
 * @param frame bytes of the whole map; they must not be changed
 * @param contentOffset index of the first byte of the content
 * @param contentLength number of bytes of the content
 */
record Envelope(
    String type, long request, long reply, byte[] frame, int contentOffset, int contentLength) {}
