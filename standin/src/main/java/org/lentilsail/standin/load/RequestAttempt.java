package org.lentilsail.standin.load;

/**
 * One attempt of a request and its response.
 *
 * @param id request id that the backend server echoes; repeats of a key have the same id
 * @param key idempotency key, empty for none
 * @param outcome value of {@code Lentilsail-Outcome}, {@code none} without a response
 * @param status status code, 0 without a response
 * @param intact whether the response has the id and the full body of the request
 */
public record RequestAttempt(String id, String key, String outcome, int status, boolean intact) {}
