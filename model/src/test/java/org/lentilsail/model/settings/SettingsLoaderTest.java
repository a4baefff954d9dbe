package org.lentilsail.model.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.arrayContaining;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;

/**
 * Guards against incomplete validation of settings, unnoticed misspelt names, and faults reported
 * one by one.
 */
class SettingsLoaderTest {
  private static final String REQUIRED =
      """
      { // addresses of this daemon
        "id": "entry-1", "region": "south", "availabilityZone": "recife",
        "callerAddress": "127.0.0.1:0", "adminAddress": "127.0.0.1:0",
        "peerAddress": "127.0.0.1:7100", "platformAddress": "127.0.0.1:7000",
        "peers": [{"id": "entry-2", "address": "127.0.0.2:7100", "availabilityZone": "salvador"}]
      """;

  @Test
  void fillsInDefaults() {
    final EntrySettings settings = SettingsLoader.parse(REQUIRED + "}", "entry.json");
    assertThat(settings.ioThreads(), is(2));
    assertThat(settings.keyTermMinutes(), is(60));
    assertThat(settings.weights(), is(new WeightSettings(1, 1, 1, 1)));
    assertThat(settings.peers().get(0).address(), is(new HostPort("127.0.0.2", 7100)));
  }

  @Test
  void listsAllFaultsAtOnce() {
    final LentilsailException error =
        assertThrows(
            LentilsailException.class,
            () ->
                SettingsLoader.parse(
                    """
                    {"id": "entry 1", "region": "south", "availabilityZone": "recife",
                     "callerAddress": "127.0.0.1", "adminAddress": "127.0.0.1:70000",
                     "platformAddress": "127.0.0.1:0", "drainGraceMilis": 100,
                     "ioThreads": "8", "controlLeaseMillis": 1000, "weights": {"moves": -1},
                     "peers": [{"id": "a", "address": "h:1", "availabilityZone": "z"},
                               {"id": "a", "address": "h:1", "availabilityZone": "z"}]}
                    """,
                    "entry.json"));
    assertThat(error.code(), is(ErrorCode.INVALID_SETTINGS));
    final String any = "write an address as host:port; port 0 lets the operating system choose";
    assertThat(
        error.getMessage().split("\n"),
        arrayContaining(
            "entry.json has 10 faults:",
            "id is \"entry 1\": write a name without spaces",
            "callerAddress is \"127.0.0.1\": " + any,
            "adminAddress is \"127.0.0.1:70000\": " + any,
            "peerAddress is missing: " + any,
            "platformAddress is \"127.0.0.1:0\": write an address as host:port with a port from 1"
                + " to 65535",
            "controlLeaseMillis is 1000: write a whole number from 3000 to 60000",
            "ioThreads is \"8\": write a whole number from 1 to 64",
            "weights.moves is -1: write a number above 0",
            "drainGraceMilis is 100: this field is unknown; did you mean drainGraceMillis?",
            "peers[1].id is \"a\": write an id that no daemon has yet"));
  }

  @Test
  void rejectsMalformedTextWithItsPosition() {
    final LentilsailException error =
        assertThrows(
            LentilsailException.class, () -> SettingsLoader.parse("{\n  \"id\" 3}", "entry.json"));
    assertThat(error.getMessage().startsWith("entry.json is malformed at line 2"), is(true));
  }

  @Test
  void rejectsDuplicateField() {
    assertThrows(
        LentilsailException.class,
        () -> SettingsLoader.parse(REQUIRED + ", \"id\": \"entry-3\"}", "entry.json"));
  }
}
