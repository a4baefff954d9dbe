package org.lentilsail.system;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.lentilsail.standin.backend.JournalEntry;
import org.lentilsail.standin.backend.JournalView;

/** Reads the journals of the runs on all backend servers. */
final class Journals {
  private static final ObjectMapper JSON = new ObjectMapper();

  private Journals() {}

  static List<JournalEntry> read(final LocalFleet fleet) throws IOException {
    final List<JournalEntry> result = new ArrayList<>();
    for (final int port : fleet.addresses().backendPorts().values()) {
      final byte[] body =
          fleet
              .httpClient()
              .send(port, "GET", "/standin/journal", List.of(), "", Duration.ofSeconds(20))
              .body();
      result.addAll(JSON.readValue(body, JournalView.class).entries());
    }
    return result;
  }
}
