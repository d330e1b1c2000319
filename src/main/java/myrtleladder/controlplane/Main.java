package myrtleladder.controlplane;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import myrtleladder.io.EventLoop;
import myrtleladder.io.HttpServer;
import myrtleladder.process.Address;
import myrtleladder.process.NodeSettings;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.StoredState;
import myrtleladder.replication.Replica;
import myrtleladder.replication.ReplicaOptions;
import myrtleladder.rpc.MessageServer;
import myrtleladder.rpc.PeerClient;
import myrtleladder.signal.Signals;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** The control plane's program. */
public final class Main {
    private static final Logger LOG = LogManager.getLogger(Main.class);
    private static final long LAST_ANSWERS = 150;
    private static final long GRACE_MARGIN = 1_000;

    private Main() {}

    /** Runs the program; see {@link ControlCommand} for its words. */
    public static void main(String[] arguments) {
        System.exit(ControlCommand.run(arguments));
    }

    /** Serves until SIGTERM. */
    static void serve(NodeSettings settings)
            throws InterruptedException, ReflectiveOperationException {
        EventLoop loop = new EventLoop();
        Path folder = Path.of(settings.dataFolder());
        Replica replica = begin(settings, loop, new GenerationStore(folder));
        CountDownLatch ended = new CountDownLatch(1);
        Signals.on(
                "TERM", () -> loop.execute(() -> leave(settings.bounds(), loop, replica, ended)));
        Signals.on(
                "HUP", () -> loop.execute(() -> LOG.info("settings are read at each start only")));
        LOG.info("control node {} at {}", settings.nodeName(), settings.control());
        ended.await();
        Runtime.getRuntime().halt(0);
    }

    /** Ends once the group goes on without this node; asked a second time, at once. */
    private static void leave(
            NodeSettings.Bounds bounds, EventLoop loop, Replica replica, CountDownLatch ended) {
        if (replica.isLeaving()) {
            ended.countDown();
            return;
        }
        long within = Math.min(bounds.catchUpMs(), bounds.graceMs() - GRACE_MARGIN);
        replica.leave(within, released -> loop.schedule(LAST_ANSWERS, ended::countDown));
    }

    /** Puts the parts of a node together and begins to serve on a loop that is started here. */
    static Replica begin(NodeSettings settings, EventLoop loop, GenerationStore store) {
        StoredState onDisk = store.load();
        DiskThread disk = new DiskThread(loop, store);
        disk.start();
        loop.start();
        PeerClient peers = new PeerClient(loop);
        NodeSettings.Bounds bounds = settings.bounds();
        ControlPlane plane =
                new ControlPlane(
                        loop,
                        peers,
                        settings.heartbeatMs(),
                        bounds.quotaOverage(),
                        bounds.quotaSlack(),
                        settings.regionOfZone());
        Replica replica =
                new Replica(
                        options(settings),
                        onDisk,
                        UUID.randomUUID().toString(),
                        loop,
                        disk,
                        peers,
                        plane,
                        plane::instances);
        loop.execute(
                () -> {
                    plane.attach(replica);
                    new MessageServer(loop, settings.ip(), settings.firstPort(), plane::receive);
                    new HttpServer(
                            loop,
                            settings.control().host(),
                            settings.control().port(),
                            plane::handle);
                    replica.start();
                });
        return replica;
    }

    private static ReplicaOptions options(NodeSettings settings) {
        int port = settings.firstPort();
        List<Member> seeds = new ArrayList<>();
        for (Address seed : settings.seeds()) {
            seeds.add(Member.of(seed.host() + ":" + port, seed.toString(), ""));
        }
        Member self = Member.of(settings.ip() + ":" + port, settings.control().toString(), "");
        return new ReplicaOptions(
                self,
                settings.toleratedMachines(),
                settings.bootstrap(),
                seeds,
                settings.bounds().catchUpMs());
    }
}
