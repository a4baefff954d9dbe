package org.lentilsail.model.job;

import java.util.List;
import java.util.Objects;

/**
 * An organisation whose callers submit jobs.
 *
 * @param name name of the organisation
 * @param apiKeys keys with which its callers identify themselves
 * @param weight number of jobs a second that it is entitled to when capacity is short, 0 for no
 *     limit
 * @param limit resources that it may have in use over all workers; a component of 0 is unlimited
 */
public record Organisation(String name, List<String> apiKeys, double weight, Resources limit) {

  /** Checks the name and the limit, and copies the list to make the organisation immutable. */
  public Organisation {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(limit, "limit");
    apiKeys = List.copyOf(apiKeys);
  }

  /** Returns a text without the keys, which must not get into logs. */
  @Override
  public String toString() {
    return "Organisation[name=" + name + ", weight=" + weight + ", limit=" + limit + ']';
  }
}
