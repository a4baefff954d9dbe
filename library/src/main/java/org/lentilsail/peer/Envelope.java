package org.lentilsail.peer;

/**
 * A received message whose content is not decoded yet.
 *
 * @param type type of the message
 * @param request number of the request that expects a reply, 0 for none
 * @param reply number of the request that this message replies to, 0 for none
 * @param frame bytes of the whole map; they must not be changed
 * @param contentOffset index of the first byte of the content
 * @param contentLength number of bytes of the content
 */
record Envelope(
    String type, long request, long reply, byte[] frame, int contentOffset, int contentLength) {}
