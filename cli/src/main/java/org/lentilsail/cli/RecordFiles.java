package org.lentilsail.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.json.JsonText;

/** Reads records from files; a file holds one record or a list of records. */
final class RecordFiles {
  private RecordFiles() {}

  /** Reads all files before anything is sent, so that a malformed one stops the whole command. */
  static List<JsonNode> read(final List<String> files) {
    if (files.isEmpty()) {
      throw new LentilsailException(
          ErrorCode.INVALID_INPUT, "no file is named", "name one or more files with records");
    }
    final List<JsonNode> records = new ArrayList<>();
    for (final String file : files) {
      final JsonNode json =
          JsonText.parse(TextFiles.read(Path.of(file)), file, ErrorCode.INVALID_INPUT);
      if (json.isArray()) {
        json.forEach(records::add);
      } else {
        records.add(json);
      }
    }
    return records;
  }

  /** Returns kind and name of a record. */
  static String name(final JsonNode record) {
    return record.path("kind").asText() + "/" + record.path("name").asText();
  }
}
