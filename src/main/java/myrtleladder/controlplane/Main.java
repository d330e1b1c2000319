package myrtleladder.controlplane;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import myrtleladder.eventloop.EventLoop;
import myrtleladder.process.NodeSettings;
import myrtleladder.replication.Replica;
import myrtleladder.signal.Signals;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** The control plane's program: starts a node and lets it leave its group on SIGTERM. */
public final class Main {
    private static final Logger LOG = LogManager.getLogger(Main.class);

    /** How long the process outlasts its end, so that the last responses are sent. */
    private static final long LINGER_MS = 150;

    /** What is left of the grace period for the end after the node has left. */
    private static final long GRACE_MARGIN_MS = 1_000;

    private Main() {}

    /** Runs the program; see {@link ControlCommand} for its verbs. */
    public static void main(String[] arguments) {
        System.exit(ControlCommand.run(arguments));
    }

    /**
     * Serves until SIGTERM and ends the process.
     *
     * @throws ReflectiveOperationException if the platform has no signals
     */
    static void serve(NodeSettings settings)
            throws InterruptedException, ReflectiveOperationException {
        EventLoop loop = new EventLoop();
        StateStore store = new StateStore(Path.of(settings.dataFolder()));
        TallyLog tallyLog = new TallyLog(Path.of(settings.dataFolder()));
        Replica replica = ControlNode.start(settings, loop, store, tallyLog);
        CountDownLatch ended = new CountDownLatch(1);
        Signals.setHandler(
                "TERM", () -> loop.execute(() -> leave(settings.bounds(), loop, replica, ended)));
        Signals.setHandler(
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
        long timeoutMs = Math.min(bounds.catchUpMs(), bounds.graceMs() - GRACE_MARGIN_MS);
        replica.leave(timeoutMs, isReleased -> loop.schedule(LINGER_MS, ended::countDown));
    }
}
