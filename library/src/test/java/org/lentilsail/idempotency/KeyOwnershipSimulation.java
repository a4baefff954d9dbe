package org.lentilsail.idempotency;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.lentilsail.config.KeyTerm;
import org.lentilsail.entry.EntryResponse;
import org.lentilsail.entry.Outcome;
import org.lentilsail.model.time.TimeSource;

/** Random simulation of three daemons with clock errors, crashes and attempts with keys. */
final class KeyOwnershipSimulation {
  private static final long ORIGIN_MILLIS = 1_800_000_000_000L;
  private static final int DAEMONS = 3;

  /** Two clocks differ by less than 3 s. */
  private static final int MAX_OFFSET_MILLIS = 1_499;

  private final Random random;
  private final LossyPlatform platform;
  private final Daemon[] daemons = new Daemon[DAEMONS];
  private final Set<Long> deadIncarnations = new HashSet<>();
  private final List<IdempotencyKey> keys = new ArrayList<>();
  private final Map<IdempotencyKey, Long> owners = new HashMap<>();
  private final Set<IdempotencyKey> mayHaveRun = new HashSet<>();
  private long now = ORIGIN_MILLIS;
  private long incarnations;
  int attempts;
  int runs;

  KeyOwnershipSimulation(final long seed) {
    random = new Random(seed);
    platform = new LossyPlatform(random, 30);
    for (int i = 0; i < DAEMONS; i++) {
      daemons[i] = new Daemon(i);
    }
  }

  void step() {
    final int index = random.nextInt(DAEMONS);
    final Daemon daemon = daemons[index];
    final int kind = random.nextInt(1_000);
    if (kind < 500) {
      attempt(daemon);
    } else if (kind < 800) {
      daemon.termManager.tick(1 + random.nextInt(DAEMONS), term -> isDead(term));
    } else if (kind < 900) {
      platform.deliverOne();
    } else if (kind < 960) {
      now += random.nextInt(5_000);
    } else if (kind < 970) {
      now += random.nextInt(4_000_000);
    } else if (kind < 990) {
      daemon.offset = random.nextInt(2 * MAX_OFFSET_MILLIS) - MAX_OFFSET_MILLIS;
    } else {
      if (random.nextBoolean()) {
        daemon.termManager.stop();
      }
      deadIncarnations.add(daemon.incarnation);
      daemons[index] = new Daemon(index);
    }
  }

  private boolean isDead(final KeyTerm term) {
    return deadIncarnations.contains(term.incarnation());
  }

  private void attempt(final Daemon daemon) {
    attempts++;
    final IdempotencyKey key = key();
    final KeyDecision decision = daemon.table.admit(key, "f", daemon.wallMillis());
    if (decision.run()) {
      runs++;
      check(!mayHaveRun.contains(key), key, "runs twice");
      final Long owner = owners.putIfAbsent(key, daemon.incarnation);
      check(owner == null || owner == daemon.incarnation, key, "has two owners");
      final int result = random.nextInt(4);
      if (result == 0) {
        daemon.table.complete(key, response(Outcome.NOT_RUN));
      } else {
        mayHaveRun.add(key);
        if (result < 3) {
          daemon.table.complete(key, response(result == 1 ? Outcome.RAN : Outcome.UNKNOWN));
        }
      }
    } else if (decision.response().isDone()) {
      final Outcome outcome = decision.response().join().outcome();
      check(
          outcome != Outcome.NOT_RUN || !mayHaveRun.contains(key),
          key,
          "is reported as not-run after a run");
      check(
          outcome != Outcome.RAN || mayHaveRun.contains(key),
          key,
          "is reported as ran without a run");
    }
  }

  private IdempotencyKey key() {
    if (!keys.isEmpty() && random.nextInt(100) < 60) {
      return keys.get(Math.max(0, keys.size() - 1 - random.nextInt(30)));
    }
    final int kind = random.nextInt(10);
    final long around = kind == 0 ? random.nextInt(7_200_000) - 3_600_000 : 0;
    final IdempotencyKey key =
        IdempotencyKey.create(now + around + random.nextInt(12_000) - 6_000, random);
    keys.add(key);
    return key;
  }

  private static void check(final boolean holds, final IdempotencyKey key, final String violation) {
    if (!holds) {
      throw new AssertionError("key " + key.uuid() + " " + violation);
    }
  }

  private static EntryResponse response(final Outcome outcome) {
    return new EntryResponse(outcome, 200, List.of(), new byte[10]);
  }

  /** One incarnation of a daemon with its own clock. */
  private final class Daemon implements TimeSource {
    final long incarnation = ++incarnations;
    final KeyTable table = new KeyTable(1_800_000, 100);
    final KeyTermManager termManager;
    int offset = random.nextInt(2 * MAX_OFFSET_MILLIS) - MAX_OFFSET_MILLIS;

    Daemon(final int index) {
      termManager = new KeyTermManager(platform, table, this, 3_600_000, "d" + index, incarnation);
    }

    @Override
    public long wallMillis() {
      return now + offset;
    }

    @Override
    public long nanos() {
      return now * 1_000_000;
    }
  }
}
