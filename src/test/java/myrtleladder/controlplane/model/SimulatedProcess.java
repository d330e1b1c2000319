package myrtleladder.controlplane.model;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import myrtleladder.controlplane.ControlPlane;
import myrtleladder.http.RequestHead;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.MessageCodec;
import myrtleladder.protocol.StoredState;
import myrtleladder.protocol.TallyAddition;
import myrtleladder.replication.PeerTransport;
import myrtleladder.replication.Replica;
import myrtleladder.replication.ReplicaOptions;
import myrtleladder.replication.StateStorage;
import myrtleladder.scheduler.Scheduler;
import myrtleladder.tally.Tallies;
import myrtleladder.tally.TallyOptions;
import myrtleladder.tally.TallyStorage;

/**
 * One process of a control node: the code under test, connected to the simulated clock, disk and
 * network. Its tasks are dropped once it has ended and postponed while it is frozen.
 */
final class SimulatedProcess
        implements Scheduler, StateStorage, TallyStorage, PeerTransport, Replica.Listener {
    private static final long UPSTREAM_HEARTBEAT_MS = 1_200;
    private static final double QUOTA_OVERAGE_SHARE = 0.1;
    private static final double QUOTA_SLACK_UNITS = 1_000;
    private static final Map<String, String> REGION_BY_ZONE = Map.of("z", "r");

    private final SimulatedCluster cluster;
    private final SimulatedNode node;
    private final ControlPlane plane;
    private final Replica replica;
    private StoredState lastState;
    private boolean hasEnded;

    /**
     * Creates a process; {@link #start} has to follow.
     *
     * @param isBootstrap whether its seeds are the first group
     * @param newStore the store id that an empty disk gets
     */
    SimulatedProcess(
            SimulatedCluster cluster, SimulatedNode node, boolean isBootstrap, String newStore) {
        this.cluster = cluster;
        this.node = node;
        this.plane =
                new ControlPlane(
                        this,
                        this,
                        UPSTREAM_HEARTBEAT_MS,
                        QUOTA_OVERAGE_SHARE,
                        QUOTA_SLACK_UNITS,
                        REGION_BY_ZONE);
        if (cluster.hasTallies()) {
            plane.setTallies(tallies(isBootstrap, newStore));
        }
        this.lastState = node.disk().load();
        this.replica =
                new Replica(
                        new ReplicaOptions(
                                Member.of(node.address, node.controlAddress, ""),
                                cluster.toleratedMachines,
                                isBootstrap,
                                cluster.seeds(),
                                SimulatedCluster.CATCH_UP_MS),
                        lastState,
                        newStore,
                        this,
                        this,
                        this,
                        this,
                        plane::instances);
    }

    private Tallies tallies(boolean isBootstrap, String process) {
        return new Tallies(
                new TallyOptions(
                        node.address,
                        node.zone,
                        process,
                        cluster.toleratedMachines,
                        SimulatedCluster.TOLERATED_ZONES,
                        node.disk().prepareTallyLog(isBootstrap),
                        cluster.seeds().stream().map(seed -> seed.address).toList()),
                this,
                this,
                this,
                node.disk().loadAdditions());
    }

    void start() {
        plane.attach(replica);
        replica.start();
    }

    Replica replica() {
        return replica;
    }

    boolean hasEnded() {
        return hasEnded;
    }

    /** Ends the process; its scheduled tasks no longer run. */
    void end() {
        hasEnded = true;
    }

    /** Runs a task as soon as the process is not frozen, unless it has ended by then. */
    private void run(Runnable task) {
        if (hasEnded) {
            return;
        }
        long frozenMs = node.frozenMs();
        if (frozenMs > 0) {
            // postponed tasks run in random order
            cluster.clock.schedule(frozenMs + 1 + cluster.random.nextInt(3), () -> run(task));
            return;
        }
        task.run();
    }

    /** Reaches a point at which a test may inject a fault; false if that ended the process. */
    private boolean passFaultPoint() {
        cluster.reachFaultPoint(node);
        return !hasEnded;
    }

    @Override
    public long now() {
        return cluster.clock.now();
    }

    @Override
    public Timer schedule(long delayMs, Runnable task) {
        return cluster.clock.schedule(delayMs, () -> run(task));
    }

    @Override
    public void save(StoredState state, Consumer<Boolean> done) {
        if (!passFaultPoint()) {
            return;
        }
        cluster.protocol.checkSave(node.address, lastState, state);
        lastState = state;
        node.disk().save(state, () -> !hasEnded, isSaved -> run(() -> onSaved(isSaved, done)));
    }

    @Override
    public void append(List<TallyAddition> additions, Consumer<Boolean> done) {
        node.disk()
                .append(additions, () -> !hasEnded, isSaved -> run(() -> onSaved(isSaved, done)));
    }

    @Override
    public void markComplete() {
        node.disk().markTallyLogComplete(() -> !hasEnded);
    }

    private void onSaved(boolean isSaved, Consumer<Boolean> done) {
        if (passFaultPoint()) {
            done.accept(isSaved);
        }
    }

    @Override
    public void call(String to, Message message, long timeoutMs, Consumer<Message> responder) {
        cluster.protocol.checkSent(replica.self(), message);
        byte[] bytes = MessageCodec.encode(message);
        FirstResponse first = new FirstResponse(response -> run(() -> responder.accept(response)));
        cluster.clock.schedule(timeoutMs, () -> first.accept(null));
        Message forged = cluster.forger().forgedResponse(node, to, message);
        if (forged != null) {
            cluster.network.carry(node.address, node.address, () -> first.accept(forged));
            return;
        }
        if (!passFaultPoint()) {
            return;
        }
        cluster.network.carry(
                node.address, to, () -> cluster.deliver(to, bytes, node.address, first::accept));
        passFaultPoint();
    }

    /** Handles a message of another process. */
    void receive(byte[] bytes, String from, Consumer<Message> responder) {
        run(
                () -> {
                    if (passFaultPoint()) {
                        Message message = cluster.forger().tamper(node, MessageCodec.decode(bytes));
                        plane.receive(
                                message, response -> respond(message, response, from, responder));
                    }
                });
    }

    private void respond(
            Message request, Message response, String to, Consumer<Message> responder) {
        if (!passFaultPoint()) {
            return;
        }
        cluster.forger().tamperResponse(request, response);
        cluster.protocol.checkResponse(request, response);
        cluster.protocol.checkConflicts(node.address, replica.epochConflicts());
        byte[] bytes = response == null ? null : MessageCodec.encode(response);
        cluster.network.carry(
                node.address,
                to,
                () -> responder.accept(bytes == null ? null : MessageCodec.decode(bytes)));
    }

    /** Handles an HTTP request of an external client. */
    void handle(RequestHead head, byte[] body, Consumer<SimulatedResponse> responder) {
        Consumer<SimulatedResponse> unlessEnded =
                response -> {
                    if (!hasEnded) {
                        responder.accept(response);
                    }
                };
        run(() -> plane.handle(new SimulatedExchange(head, body, unlessEnded)));
    }

    @Override
    public void onPrimacyGained(Collection<InstanceRecord> instances) {
        cluster.history.recordPrimary(replica.view().epoch, node.address);
        plane.onPrimacyGained(instances);
    }

    @Override
    public void onPrimacyLost() {
        plane.onPrimacyLost();
    }

    @Override
    public void onInstancesReceived(Collection<InstanceRecord> instances) {
        plane.onInstancesReceived(instances);
    }
}
