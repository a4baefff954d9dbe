package org.lentilsail.drain;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lentilsail.config.ConfigurationSnapshot;
import org.lentilsail.model.fleet.FleetDocument;
import org.lentilsail.model.record.HoldSpec;
import org.lentilsail.model.record.Records;
import org.lentilsail.model.time.ManualTimeSource;
import org.lentilsail.peer.PeerHandler;
import org.lentilsail.peer.PeerMessage;
import org.lentilsail.peer.PeerNetwork;
import org.lentilsail.peer.PeerView;

/** Guards against notices that do not reach the peers, and against notices that never expire. */
class DrainNoticesTest {
  private final ManualTimeSource time = new ManualTimeSource(0);
  private final Network network = new Network();
  private final List<Set<String>> applied = new ArrayList<>();
  private DrainNotices notices;

  @BeforeEach
  void create() {
    notices = new DrainNotices(network, time, Runnable::run, applied::add);
  }

  @Test
  void appliesAnOperatorsDrainHereAndOnEveryPeer() {
    notices.announce("vm-1", "smoke in the rack");
    assertThat(applied, contains(Set.of("vm-1")));
    assertThat(network.sent.keySet(), is(Set.of("e2", "e3")));
  }

  @Test
  void dropsExpiredNoticeAboutLeavingVm() {
    notices.announceLeaving(Set.of("vm-1"));
    time.advance(DrainNotices.LEAVING_NOTICE_DURATION);
    notices.tick();
    assertThat(notices.vms(), is(empty()));
  }

  @Test
  void limitsTheValidityOfNoticeFromPeer() {
    network.receive(new DrainNotice(Map.of("vm-1", Long.MAX_VALUE / 2)));
    assertThat(notices.vms(), contains("vm-1"));
    time.advance(DrainNotices.OPERATOR_NOTICE_DURATION);
    notices.tick();
    assertThat(notices.vms(), is(empty()));
  }

  @Test
  void dropsNoticeOfVmWithRecordedHold() {
    notices.announce("vm-1", "smoke in the rack");
    final HoldSpec hold = new HoldSpec("vm-1", "vm-1", true, "smoke in the rack");
    final Records records =
        new Records(Map.of(), Map.of(), Map.of(), Map.of(), Map.of("vm-1", hold));
    notices.configure(new ConfigurationSnapshot(1, records, FleetDocument.empty(), 0, Map.of()));
    assertThat(notices.vms(), is(empty()));
  }

  /** Network with two peers that records the last message to each. */
  private static final class Network implements PeerNetwork {
    private final Map<String, PeerMessage> sent = new HashMap<>();
    private PeerHandler<PeerMessage> handler;

    void receive(final DrainNotice notice) {
      handler.handle("e2", notice);
    }

    @Override
    public String self() {
      return "e1";
    }

    @Override
    public long incarnation() {
      return 1;
    }

    @Override
    public List<PeerView> peers() {
      return List.of(
          new PeerView("e2", 1, "a", "r", true, true, 0),
          new PeerView("e3", 1, "b", "r", true, true, 0));
    }

    @Override
    public void send(final String peer, final PeerMessage message) {
      sent.put(peer, message);
    }

    @Override
    public <R extends PeerMessage> CompletableFuture<R> request(
        final String peer,
        final PeerMessage message,
        final Duration timeout,
        final Class<R> replyType) {
      throw new UnsupportedOperationException("notices are one-way messages");
    }

    @Override
    @SuppressWarnings("unchecked")
    public <M extends PeerMessage> void handle(
        final String name, final Class<M> type, final PeerHandler<M> added) {
      handler = (PeerHandler<PeerMessage>) added;
    }

    @Override
    public void onPeerChange(final Consumer<PeerView> listener) {
      throw new UnsupportedOperationException("notices do not follow peers");
    }
  }
}
