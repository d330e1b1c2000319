package myrtleladder.controlplane;

import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import myrtleladder.eventloop.EventLoop;
import myrtleladder.eventloop.NetworkException;
import myrtleladder.http.HttpServer;
import myrtleladder.http.RequestLimits;
import myrtleladder.http.ServerResources;
import myrtleladder.process.Address;
import myrtleladder.process.NodeSettings;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.StoredState;
import myrtleladder.protocol.TallyAddition;
import myrtleladder.replication.Replica;
import myrtleladder.replication.ReplicaOptions;
import myrtleladder.rpc.MessageServer;
import myrtleladder.rpc.PeerClient;
import myrtleladder.tally.Tallies;
import myrtleladder.tally.TallyOptions;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Creates the components of a control node and starts them. */
final class ControlNode {
    private static final Logger LOG = LogManager.getLogger(ControlNode.class);

    /** Stands for the store identifier of a member that has not answered yet. */
    private static final String UNKNOWN_STORE_ID = "";

    /** Longest time in which a request of an operator or an upstream must arrive. */
    private static final long CONTROL_RECEIVE_TIMEOUT_MS = 10_000;

    private static final RequestLimits CONTROL_LIMITS =
            RequestLimits.DEFAULT.withReceiveTimeoutMs(CONTROL_RECEIVE_TIMEOUT_MS);

    private ControlNode() {}

    /**
     * Starts a node: loads its stored state, starts the disk threads and the event loop, and then,
     * on the loop, the servers and the replica.
     *
     * @param loop an event loop that has not been started
     * @return the replica, which may only be used on the loop
     * @throws NetworkException if an address can't be bound
     */
    static Replica start(
            NodeSettings settings, EventLoop loop, StateStore store, TallyLog tallyLog) {
        StoredState stored = store.load();
        List<TallyAddition> additions = tallyLog.load();
        boolean isDiskComplete = isDiskComplete(settings, stored, tallyLog);
        prepareTallyLog(tallyLog, isDiskComplete);
        AsyncStateWriter writer = new AsyncStateWriter(loop, store);
        writer.start();
        AsyncTallyWriter tallyWriter = new AsyncTallyWriter(loop::execute, tallyLog);
        tallyWriter.start();
        loop.start();
        PeerClient peers = new PeerClient(loop, settings.internal()::callAddress);
        ControlPlane plane = controlPlane(settings, loop, peers);
        plane.setTallies(
                new Tallies(
                        tallyOptions(settings, isDiskComplete),
                        loop,
                        peers,
                        tallyWriter,
                        additions));
        Replica replica =
                new Replica(
                        replicaOptions(settings),
                        stored,
                        UUID.randomUUID().toString(),
                        loop,
                        writer,
                        peers,
                        plane,
                        plane::instances);
        loop.executeAndWait(() -> startServers(settings, loop, plane, replica));
        return replica;
    }

    /**
     * Returns whether the disk has all data that this node stored before, which also holds for a
     * node that bootstraps a new group. A disk that was used by a release without tallies has a
     * state but no tally log and counts as complete; a replaced disk has neither.
     */
    private static boolean isDiskComplete(
            NodeSettings settings, StoredState stored, TallyLog tallyLog) {
        return tallyLog.isComplete()
                || settings.bootstrap()
                || (stored != null && !tallyLog.exists());
    }

    /**
     * Records in the tally log whether the disk is complete, so that the next start can tell. Must
     * run before anything else is saved.
     */
    private static void prepareTallyLog(TallyLog tallyLog, boolean isDiskComplete) {
        try {
            if (isDiskComplete) {
                tallyLog.markComplete();
            } else {
                tallyLog.create();
            }
        } catch (StorageException e) {
            LOG.warn("cannot prepare the tally log: {}", e.getMessage());
        }
    }

    private static ControlPlane controlPlane(
            NodeSettings settings, EventLoop loop, PeerClient peers) {
        NodeSettings.Bounds bounds = settings.bounds();
        return new ControlPlane(
                loop,
                peers,
                settings.heartbeatMs(),
                bounds.quotaOverage(),
                bounds.quotaSlack(),
                settings.regionOfZone());
    }

    private static TallyOptions tallyOptions(NodeSettings settings, boolean isDiskComplete) {
        return new TallyOptions(
                internalAddress(settings, settings.ip()),
                settings.zone(),
                newProcessIdentity(),
                settings.toleratedMachines(),
                settings.toleratedZones(),
                isDiskComplete,
                settings.seeds().stream()
                        .map(seed -> internalAddress(settings, seed.host()))
                        .toList());
    }

    /**
     * Returns a random 64-bit number in base 36. It is short because each addition to a tally
     * contains it.
     */
    private static String newProcessIdentity() {
        UUID random = UUID.randomUUID();
        long bits = random.getMostSignificantBits() ^ random.getLeastSignificantBits();
        return Long.toUnsignedString(bits, Character.MAX_RADIX);
    }

    /**
     * Returns the address of the internal protocol on a host; its port is the same on all machines.
     */
    private static String internalAddress(NodeSettings settings, String host) {
        return host + ":" + settings.firstPort();
    }

    private static ReplicaOptions replicaOptions(NodeSettings settings) {
        List<Member> seeds = new ArrayList<>();
        for (Address seed : settings.seeds()) {
            String internal = internalAddress(settings, seed.host());
            seeds.add(Member.of(internal, seed.toString(), UNKNOWN_STORE_ID));
        }
        String ownInternal = internalAddress(settings, settings.ip());
        Member self = Member.of(ownInternal, settings.control().toString(), UNKNOWN_STORE_ID);
        return new ReplicaOptions(
                self,
                settings.toleratedMachines(),
                settings.bootstrap(),
                seeds,
                settings.bounds().catchUpMs());
    }

    private static void startServers(
            NodeSettings settings, EventLoop loop, ControlPlane plane, Replica replica) {
        plane.attach(replica);
        ServerResources resources =
                new ServerResources(loop, settings.limits().descriptors(), LOG::warn);
        Address internal = settings.internal().listen();
        new MessageServer(
                loop,
                internal.host(),
                internal.port(),
                RequestLimits.DEFAULT,
                resources,
                plane::receive);
        Address control = settings.control();
        new HttpServer(
                loop,
                control.host(),
                control.port(),
                () -> CONTROL_LIMITS,
                resources,
                plane::handle);
        replica.start();
    }
}
