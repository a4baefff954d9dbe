package org.lentilsail.model.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.json.Fault;
import org.lentilsail.model.json.JsonText;

/** Loads the settings of an entry daemon; the error for an invalid file lists all faults. */
public final class SettingsLoader {
  private SettingsLoader() {}

  /**
   * Loads a settings file.
   *
   * @param file the file
   * @return the settings
   */
  public static EntrySettings load(final Path file) {
    try {
      return parse(Files.readString(file), file.toString());
    } catch (final IOException error) {
      throw new LentilsailException(
          ErrorCode.INVALID_SETTINGS,
          "settings file " + file + " cannot be read: " + error,
          "name a readable file in UTF-8",
          error);
    }
  }

  /**
   * Parses settings.
   *
   * @param text JSON, with comments
   * @param source source of the text for error messages
   * @return the settings
   */
  public static EntrySettings parse(final String text, final String source) {
    final SettingsReader reader =
        new SettingsReader(JsonText.parse(text, source, ErrorCode.INVALID_SETTINGS));
    final EntrySettings settings = reader.read();
    if (!reader.faults().isEmpty()) {
      throw new LentilsailException(
          ErrorCode.INVALID_SETTINGS,
          Fault.message(source, reader.faults()),
          "correct the listed fields");
    }
    return settings;
  }
}
