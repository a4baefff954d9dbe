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

  /** Returns whether the items were written by the claim with the given id. */
  boolean hasClaimId(final String claimId) {
    return term.isPresent()
        && leader.isPresent()
        && new String(leader.get().value(), StandardCharsets.UTF_8).equals(claimId);
  }
}
