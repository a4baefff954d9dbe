package org.lentilsail.cli;

import java.util.List;

/** Registry of the commands. */
final class Commands {
  /** All commands in the order of the command overview. */
  static final List<Command> ALL =
      List.of(
          new ApplyCommand(),
          new DiffCommand(),
          new GetCommand(),
          new ListCommand(),
          new DeleteCommand(),
          new ReadCommand(
              "status", "WAVE", "shows the progress of a wave", List.of("/v1/waves/", "")),
          new ActionCommand("pause", "WAVE", "pauses a wave", "waves", "is paused already"),
          new ActionCommand(
              "resume", "WAVE", "resumes a paused or halted wave", "waves", "runs already"),
          new DrainCommand(),
          new ActionCommand(
              "return", "VM", "returns a drained VM to service", "vms", "is not held"),
          new ReadCommand(
              "explain",
              "vm|wave NAME",
              "explains the state of a VM or a wave",
              List.of("/v1/explain/", "/", "")),
          new HistoryCommand(),
          new ReadCommand("state", "", "shows the state of a daemon", List.of("/v1/state")));

  private Commands() {}
}
