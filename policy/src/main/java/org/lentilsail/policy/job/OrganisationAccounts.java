package org.lentilsail.policy.job;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.lentilsail.model.job.JobConfiguration;
import org.lentilsail.model.job.Organisation;
import org.lentilsail.model.job.Resources;

/**
 * The accounts of all organisations that are configured or have submitted a job. Confined to the
 * control thread.
 */
public final class OrganisationAccounts implements OrganisationUsage {
  private final Map<String, OrganisationAccount> accounts = new LinkedHashMap<>();
  private final Map<String, Resources> limits = new HashMap<>();
  private boolean configurationKnown;

  OrganisationAccounts() {
    account("");
  }

  /**
   * Returns all accounts.
   *
   * @return one for each organisation that is configured or has submitted a job, and one with an
   *     empty name for jobs without organisation
   */
  public Collection<OrganisationAccount> all() {
    return Collections.unmodifiableCollection(accounts.values());
  }

  @Override
  public Resources running(final String organisation) {
    return account(organisation).used();
  }

  /**
   * Applies the limits of a configuration.
   *
   * @param configuration the configuration; the empty one stands for none received
   */
  void configuration(final JobConfiguration configuration) {
    configurationKnown = !configuration.equals(JobConfiguration.empty());
    limits.clear();
    for (final Organisation organisation : configuration.organisations()) {
      limits.put(organisation.name(), organisation.limit());
      account(organisation.name());
    }
    accounts.values().forEach(this::applyLimit);
  }

  /** Returns the account of an organisation; an empty name is that of jobs without one. */
  OrganisationAccount account(final String name) {
    return accounts.computeIfAbsent(
        name,
        key -> {
          final OrganisationAccount created = new OrganisationAccount(key);
          applyLimit(created);
          return created;
        });
  }

  private void applyLimit(final OrganisationAccount account) {
    final Resources limit = limits.get(account.name());
    if (limit != null) {
      account.configure(limit);
    } else if (configurationKnown || account.name().isEmpty()) {
      account.removeLimit();
    }
  }
}
