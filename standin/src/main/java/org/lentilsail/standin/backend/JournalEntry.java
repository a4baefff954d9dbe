package org.lentilsail.standin.backend;

/**
 * One run of a request.
 *
 * @param run number of the run on this server
 * @param key value of the {@code Idempotency-Key} field, empty when there was none
 * @param id value of the {@code Standin-Id} field, empty when there was none
 * @param bootGeneration boot in which the run started
 * @param state how far the run has come
 */
public record JournalEntry(long run, String key, String id, long bootGeneration, RunState state) {}
