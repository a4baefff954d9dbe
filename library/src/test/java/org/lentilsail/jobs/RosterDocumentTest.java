package org.lentilsail.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lentilsail.store.StoredItem;

/** Guards against a roster of an earlier or later version that the next leader can't read. */
class RosterDocumentTest {
  @ParameterizedTest
  @CsvSource({
    "'', ''",
    "',\"machine\":null', ''",
    "',\"machine\":\"m1\"', m1",
    "',\"machine\":\"m1\",\"later\":1', m1"
  })
  void machineIsOptional(final String field, final String machine) {
    final String text =
        "{\"workers\":[{\"id\":\"w1\",\"service\":\"booking\",\"host\":\"10.0.0.1\",\"port\":80,"
            + "\"zone\":\"north\",\"capacity\":{\"cpuMillis\":1,\"memoryMb\":1,\"gpus\":0},"
            + "\"labels\":[\"a\"],\"bornMillis\":7"
            + field
            + "}]}";
    final RosterDocument document =
        Documents.<RosterDocument>read(
                Documents.ROSTER,
                new StoredItem("roster", text.getBytes(StandardCharsets.UTF_8), 1))
            .orElseThrow();
    final RosterDocument.Row row = document.workers().get(0);
    assertThat(row.machine(), is(machine));
    assertThat(row.entry().startTimeMillis(), is(7L));
    assertThat(RosterDocument.Row.of(row.entry(), machine), is(row));
    assertThat(document.workers(), is(List.of(row)));
  }
}
