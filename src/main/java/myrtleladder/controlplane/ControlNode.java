package myrtleladder.controlplane;

import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import myrtleladder.eventloop.EventLoop;
import myrtleladder.http.HttpServer;
import myrtleladder.process.Address;
import myrtleladder.process.NodeSettings;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.StoredState;
import myrtleladder.replication.Replica;
import myrtleladder.replication.ReplicaOptions;
import myrtleladder.rpc.MessageServer;
import myrtleladder.rpc.PeerClient;

/** Puts the parts of a control node together and starts them. */
final class ControlNode {
    /** The store of a member is unknown until it answers. */
    private static final String UNKNOWN_STORE = "";

    private ControlNode() {}

    /**
     * Starts a node: reads its state, starts the disk's thread and the event loop, and then, on the
     * loop, the servers and the replica.
     *
     * @param loop a loop that is not started yet
     * @return the replica, which may be used on the loop only
     */
    static Replica start(NodeSettings settings, EventLoop loop, StateStore store) {
        StoredState stored = store.load();
        AsyncStateWriter writer = new AsyncStateWriter(loop, store);
        writer.start();
        loop.start();
        PeerClient peers = new PeerClient(loop, settings.internal()::callAddress);
        ControlPlane plane = controlPlane(settings, loop, peers);
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
        loop.execute(() -> serve(settings, loop, plane, replica));
        return replica;
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

    private static ReplicaOptions replicaOptions(NodeSettings settings) {
        int port = settings.firstPort();
        List<Member> seeds = new ArrayList<>();
        for (Address seed : settings.seeds()) {
            seeds.add(Member.of(seed.host() + ":" + port, seed.toString(), UNKNOWN_STORE));
        }
        Member self =
                Member.of(settings.ip() + ":" + port, settings.control().toString(), UNKNOWN_STORE);
        return new ReplicaOptions(
                self,
                settings.toleratedMachines(),
                settings.bootstrap(),
                seeds,
                settings.bounds().catchUpMs());
    }

    private static void serve(
            NodeSettings settings, EventLoop loop, ControlPlane plane, Replica replica) {
        plane.attach(replica);
        Address internal = settings.internal().listen();
        new MessageServer(loop, internal.host(), internal.port(), plane::receive);
        Address control = settings.control();
        new HttpServer(loop, control.host(), control.port(), plane::handle);
        replica.start();
    }
}
