package org.lentilsail.jobs;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.lentilsail.store.StoredItem;

/**
 * The items of a claim as read back after an unconfirmed transaction.
 *
 * @param leader the leader item
 * @param term the term item
 */
record ClaimItems(Optional<StoredItem> leader, Optional<StoredItem> term) {

  /**
   * Returns whether both items are those of a claim. They are read one by one, so the leader item
   * may be of the claim and the term item of a daemon that has claimed leadership since.
   *
   * @param claimId value of the leader item
   * @param document value of the term item
   */
  boolean areOf(final String claimId, final TermDocument document) {
    return term.isPresent()
        && leader.isPresent()
        && new String(leader.get().value(), StandardCharsets.UTF_8).equals(claimId)
        && TermDocument.read(term.get()).equals(document);
  }
}
