package org.lentilsail.jobs;

import org.lentilsail.store.StoredItem;

/**
 * The latest term.
 *
 * @param term term number, which is the fencing token of all its commands
 * @param holder id of the daemon that is the leader
 * @param processor CPU of the VM of the leader in millicores
 */
record TermDocument(long term, String holder, long processor) {

  /**
   * Reads a term. If another writer has spoiled it, the revision of the item takes the place of the
   * term number: each term is a change of the store, so no earlier term has a higher number.
   */
  static TermDocument read(final StoredItem item) {
    return Documents.<TermDocument>read(Documents.TERM, item)
        .filter(document -> document.holder() != null && document.term() <= item.revision())
        .orElseGet(() -> new TermDocument(item.revision(), "", 0));
  }
}
