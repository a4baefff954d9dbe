package org.lentilsail.jobs;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.lentilsail.model.job.TaskId;

/**
 * Tasks that a worker may have been assigned.
 *
 * @param tasks task ids as text
 */
record PlacementDocument(List<String> tasks) {

  PlacementDocument {
    tasks = List.copyOf(tasks);
  }

  static PlacementDocument of(final Collection<TaskId> tasks) {
    return new PlacementDocument(tasks.stream().map(TaskId::text).toList());
  }

  List<TaskId> ids() {
    return tasks.stream().map(TaskId::parse).flatMap(Optional::stream).toList();
  }
}
