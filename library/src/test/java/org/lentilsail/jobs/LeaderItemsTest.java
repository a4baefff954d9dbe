package org.lentilsail.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lentilsail.store.StoredItem;
import org.lentilsail.store.TransactionResult;

class LeaderItemsTest {
  private static final String KEY = "p/00000000000000a1";
  private static final long TERM_REVISION = 20;

  /**
   * Guards against a leader that gives up its state: after it had claimed its next term, a late
   * answer still showed its previous one, which it took for the term of another daemon.
   */
  @ParameterizedTest
  @CsvSource({"10, CONFLICT", "20, CONFLICT", "30, SUPERSEDED"})
  void onlyNewerTermSupersedesLeader(final long revision, final LeaderItems.WriteOutcome expected) {
    final LeaderItems items = new LeaderItems(new Term(1, 10));
    items.updateTerm(new Term(2, TERM_REVISION));
    final StoredItem term = new StoredItem(StoreKeys.TERM, new byte[0], revision);
    final StoredItem item = new StoredItem(KEY, new byte[0], 9);
    assertThat(
        items.handleResult(new TransactionResult(false, 0, List.of(term, item)), List.of(KEY)),
        is(expected));
  }
}
