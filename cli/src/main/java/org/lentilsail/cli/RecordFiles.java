package org.lentilsail.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.json.JsonText;

/** Reads records from files; a file contains a record or an array of records. */
final class RecordFiles {
  private RecordFiles() {}

  /** Reads all files; a malformed file fails the command before any record is sent. */
  static List<JsonNode> read(final List<String> files) {
    if (files.isEmpty()) {
      throw new LentilsailException(
          ErrorCode.INVALID_INPUT, "no file is given", "name one or more files with records");
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

  /** Returns the record as {@code kind/name}. */
  static String name(final JsonNode record) {
    return record.path("kind").asText() + "/" + record.path("name").asText();
  }
}
