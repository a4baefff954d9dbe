package org.lentilsail.standin.jobs;

import java.util.concurrent.CompletableFuture;
import org.lentilsail.store.WatchBatch;

/**
 * A watch that waits for a change.
 *
 * @param prefix prefix of the keys
 * @param after revision after which changes are wanted
 * @param response the response to complete
 */
record WaitingWatch(String prefix, long after, CompletableFuture<WatchBatch> response) {}
