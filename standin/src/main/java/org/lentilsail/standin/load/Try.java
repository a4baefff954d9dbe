package org.lentilsail.standin.load;

/**
 * One request that was sent and what came back.
 *
 * @param id id that the backend server echoes; repeats of a key carry the same id
 * @param key idempotency key, empty for none
 * @param outcome value of {@code Lentilsail-Outcome}, {@code none} without a response
 * @param status status code, 0 without a response
 * @param intact whether the response carries the id and the whole body of the request
 */
public record Try(String id, String key, String outcome, int status, boolean intact) {}
