package org.lentilsail.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;

/** Reads the files given on the command line. */
final class TextFiles {
  private TextFiles() {}

  static String read(final Path file) {
    try {
      return Files.readString(file);
    } catch (final IOException error) {
      throw new LentilsailException(
          ErrorCode.INVALID_INPUT,
          file + " cannot be read: " + error,
          "name a readable file in UTF-8",
          error);
    }
  }
}
