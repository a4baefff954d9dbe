package org.lentilsail.standin.backend;

/**
 * One run of a request.
 *
 * @param run number of the run on this server
 * @param key value of the {@code Idempotency-Key} header field, empty when there was none
 * @param id value of the {@code Standin-Id} header field, empty when there was none
 * @param bootGeneration boot generation in which the run started
 * @param state state of the run
 */
public record JournalEntry(long run, String key, String id, long bootGeneration, RunState state) {}
