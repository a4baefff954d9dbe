package org.lentilsail.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.List;
import java.util.stream.Collectors;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;

/**
 * Shows the log lines of daemons about a job in chronological order, together with the leadership
 * changes around them, so that an operator can find the cause of a failed job from its ID.
 */
final class HistoryCommand implements Command {
  @Override
  public String name() {
    return "history";
  }

  @Override
  public String arguments() {
    return "ID FILE...";
  }

  @Override
  public String summary() {
    return "shows the log lines of daemons about a job in chronological order";
  }

  @Override
  public boolean callsDaemons() {
    return false;
  }

  @Override
  public void run(final Invocation invocation) {
    final List<String> arguments = invocation.arguments();
    if (arguments.size() < 2) {
      throw new LentilsailException(
          ErrorCode.INVALID_INPUT,
          "the job ID or the log file is missing",
          "give the job ID and the log files of the daemons");
    }
    final String id = arguments.get(0);
    final List<LogLine> lines = LogFiles.linesAbout(id, arguments.subList(1, arguments.size()));
    if (lines.isEmpty()) {
      throw new LentilsailException(
          ErrorCode.NOT_FOUND,
          "no log line mentions " + id,
          "name the logs of all daemons at the time of the request");
    }
    invocation.print(
        json(lines), lines.stream().map(LogLine::text).collect(Collectors.joining("\n")));
  }

  private static ArrayNode json(final List<LogLine> lines) {
    final ArrayNode rows = JsonNodeFactory.instance.arrayNode();
    for (final LogLine line : lines) {
      rows.addObject()
          .put("atMillis", line.atMillis())
          .put("log", line.log())
          .put("line", line.content());
    }
    return rows;
  }
}
