package myrtleladder.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import myrtleladder.http.ServerExchange;
import myrtleladder.protocol.AcceptViewRequest;
import myrtleladder.protocol.AcknowledgeResponse;
import myrtleladder.protocol.HeartbeatRequest;
import myrtleladder.protocol.InstallStateRequest;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.PrepareRequest;
import myrtleladder.protocol.PrepareResponse;
import myrtleladder.protocol.ReplicateRequest;
import myrtleladder.protocol.ShareInstancesRequest;
import myrtleladder.protocol.StoredState;
import myrtleladder.protocol.TallyStateSummary;
import myrtleladder.protocol.TallySyncRequest;
import myrtleladder.protocol.TallySyncResponse;
import myrtleladder.replication.ManualScheduler;
import myrtleladder.replication.Replica;
import myrtleladder.replication.ReplicaOptions;
import myrtleladder.tally.Tallies;
import myrtleladder.tally.TallyOptions;

/** A primary control plane on a manual clock; the other two members of its group are scripted. */
final class ControlPlaneFixture {
    /** The heartbeat interval of upstreams. */
    static final long HEARTBEAT_INTERVAL_MS = 1_000;

    private static final long SYNC_MS = 5;
    private static final long ROUND_TRIP_MS = 2;
    private static final long CATCH_UP_MS = 4_000;
    private static final double QUOTA_OVERAGE_SHARE = 0.1;
    private static final double QUOTA_SLACK_UNITS = 1_000;

    final ManualScheduler clock = new ManualScheduler();

    /** All messages sent to the other members. */
    final List<Message> sent = new ArrayList<>();

    final ControlPlane plane = newControlPlane();
    final Replica replica;

    /** The state on the disk, null before the first sync. */
    StoredState storedState;

    private boolean arePeersResponsive = true;
    private long epochPromisedByPeers;

    /** Starts the node and waits until it is the primary. */
    ControlPlaneFixture() {
        List<Member> seeds =
                List.of(
                        Member.of("a:1", "a:2", ""),
                        Member.of("b:1", "b:2", ""),
                        Member.of("c:1", "c:2", ""));
        replica =
                new Replica(
                        new ReplicaOptions(seeds.get(0), 1, true, seeds, CATCH_UP_MS),
                        null,
                        "s",
                        clock,
                        (state, done) -> {
                            storedState = state;
                            clock.schedule(SYNC_MS, () -> done.accept(true));
                        },
                        this::call,
                        plane,
                        plane::instances);
        plane.setTallies(
                new Tallies(
                        new TallyOptions("a:1", "z", "p", 1, 0, true, List.of("b:1", "c:1")),
                        clock,
                        this::call,
                        (additions, done) -> clock.schedule(SYNC_MS, () -> done.accept(true)),
                        List.of()));
        plane.attach(replica);
        replica.start();
        clock.run(1_000);
        assertEquals(Replica.State.PRIMARY, replica.state());
    }

    private ControlPlane newControlPlane() {
        return new ControlPlane(
                clock,
                this::call,
                HEARTBEAT_INTERVAL_MS,
                QUOTA_OVERAGE_SHARE,
                QUOTA_SLACK_UNITS,
                Map.of("z", "r"));
    }

    /** Creates the control plane of a new process that starts from the state on the disk. */
    ControlPlane restarted() {
        ControlPlane restarted = newControlPlane();
        restarted.attach(
                new Replica(
                        new ReplicaOptions(replica.self(), 1, false, List.of(), CATCH_UP_MS),
                        storedState,
                        "x",
                        clock,
                        (state, done) -> done.accept(true),
                        this::call,
                        restarted,
                        restarted::instances));
        return restarted;
    }

    /** Makes the other members unresponsive. */
    void partitionPeers() {
        arePeersResponsive = false;
    }

    /** Makes the other members refuse all requests because they promised this epoch. */
    void setEpochPromisedByPeers(long epoch) {
        epochPromisedByPeers = epoch;
    }

    private void call(String to, Message message, long timeoutMs, Consumer<Message> responder) {
        sent.add(message);
        clock.schedule(
                arePeersResponsive ? ROUND_TRIP_MS : timeoutMs,
                () -> responder.accept(arePeersResponsive ? response(to, message) : null));
    }

    private Message response(String to, Message message) {
        Member peer = Member.of(to, to.replace(":1", ":2"), "first-" + to);
        if (message instanceof PrepareRequest prepare) {
            return PrepareResponse.of(true, prepare.epoch, peer, null, List.of());
        }
        if (message instanceof TallySyncRequest exchange) {
            TallyStateSummary summary =
                    TallyStateSummary.of(to, "z", to, exchange.awaited, List.of(), true);
            return TallySyncResponse.of(summary, List.of());
        }
        boolean isAcknowledged =
                message instanceof AcceptViewRequest
                        || message instanceof InstallStateRequest
                        || message instanceof ReplicateRequest
                        || message instanceof HeartbeatRequest
                        || message instanceof ShareInstancesRequest;
        return isAcknowledged
                ? AcknowledgeResponse.of(epochPromisedByPeers == 0, epochPromisedByPeers, peer)
                : null;
    }

    /** Sends a request and advances the clock. */
    <T extends ServerExchange> T send(T exchange, long waitMs) {
        plane.handle(exchange);
        clock.run(waitMs);
        return exchange;
    }

    /** Sends a configuration change and waits for its response. */
    RecordedExchange change(String method, String ifMatch, String body) {
        return send(RecordedExchange.matching(ifMatch, method, "/config", body), 50);
    }

    /** Reads the configuration. */
    RecordedExchange readConfiguration() {
        return send(RecordedExchange.of("GET", "/config", ""), 50);
    }

    /** Sends a heartbeat of an upstream and waits for its response. */
    RecordedExchange heartbeat(String id, String state, int sequence) {
        String body =
                "{'backend':'s','address':'10.0.0.1:80','zone':'z','capacity':8,'state':'%s',"
                        + "'sequence':%d}";
        return send(
                RecordedExchange.of("PUT", "/instances/" + id, body.formatted(state, sequence)),
                20);
    }

    /** Sends the departure of an upstream and advances the clock. */
    RecordedExchange departure(String id, long waitMs) {
        return send(RecordedExchange.of("DELETE", "/instances/" + id, ""), waitMs);
    }

    /** Delivers a message; its responses are added to the returned list, also later. */
    List<Message> receive(Message message) {
        List<Message> responses = new ArrayList<>();
        plane.receive(message, responses::add);
        return responses;
    }

    /** Whether any message sent to another member matches the condition. */
    boolean hasSent(Predicate<Message> condition) {
        return sent.stream().anyMatch(condition);
    }

    /** The record of an instance; fails if there is none. */
    InstanceRecord instance(String id) {
        return plane.instances().stream()
                .filter(record -> record.id.equals(id))
                .findFirst()
                .orElseThrow();
    }
}
