package org.lentilsail.policy.job;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.lentilsail.model.job.Resources;

/**
 * Orders the waiting steps of one scheduling pass by fair share: among steps of the same class, the
 * next one is that of the organisation with the smallest share relative to its weight. Starts
 * change the shares, so that free capacity does not all go to one organisation.
 */
final class FairOrder {
  /** The waiting steps of one organisation in the current class, and its share. */
  private static final class OrganisationSteps {
    private final String organisation;
    private final Deque<StepPriority.Rank> steps = new ArrayDeque<>();
    private double share;

    OrganisationSteps(final String organisation) {
      this.organisation = organisation;
    }

    /** Compares by share, then by the next step. */
    private static int compare(final OrganisationSteps a, final OrganisationSteps b) {
      final int byShare = Double.compare(a.share, b.share);
      return byShare == 0
          ? StepPriority.COMPARATOR.compare(a.steps.peek(), b.steps.peek())
          : byShare;
    }
  }

  private final List<StepPriority.Rank> ranks;
  private final OrganisationShares shares;
  private final PriorityQueue<OrganisationSteps> organisations =
      new PriorityQueue<>(OrganisationSteps::compare);
  private OrganisationSteps current;
  private int position;

  /**
   * Creates an order.
   *
   * @param ranks the waiting steps, sorted by {@link StepPriority#COMPARATOR}
   * @param shares the shares of the organisations
   */
  FairOrder(final List<StepPriority.Rank> ranks, final OrganisationShares shares) {
    this.ranks = ranks;
    this.shares = shares;
  }

  /** Returns the next step, null after the last one. */
  StepPriority.Rank next() {
    if (current == null || current.steps.isEmpty()) {
      if (organisations.isEmpty()) {
        takeClass();
      }
      current = organisations.poll();
    } else if (!organisations.isEmpty()
        && OrganisationSteps.compare(organisations.peek(), current) < 0) {
      organisations.add(current);
      current = organisations.poll();
    }
    return current == null ? null : current.steps.poll();
  }

  /** Records the resources that the last returned step has started. */
  void charge(final Resources started) {
    shares.add(current.organisation, started);
    current.share = shares.share(current.organisation);
  }

  private void takeClass() {
    final Map<String, OrganisationSteps> byOrganisation = new LinkedHashMap<>();
    final int start = position;
    while (position < ranks.size()
        && StepPriority.compareClass(ranks.get(start), ranks.get(position)) == 0) {
      final StepPriority.Rank rank = ranks.get(position);
      final String organisation = rank.step().job().submitted().organisation();
      byOrganisation.computeIfAbsent(organisation, OrganisationSteps::new).steps.add(rank);
      position++;
    }
    for (final OrganisationSteps entry : byOrganisation.values()) {
      entry.share = shares.share(entry.organisation);
      organisations.add(entry);
    }
  }
}
