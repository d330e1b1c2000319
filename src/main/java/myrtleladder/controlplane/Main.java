package myrtleladder.controlplane;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import myrtleladder.eventloop.EventLoop;
import myrtleladder.process.NodeSettings;
import myrtleladder.replication.Replica;
import myrtleladder.signal.Signals;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Entry point of the control plane: starts a node, which leaves its group on SIGTERM. */
public final class Main {
    private static final Logger LOG = LogManager.getLogger(Main.class);

    /**
     * Delay between the end of the leave protocol and the end of the process, so that the last
     * responses are sent.
     */
    private static final long LINGER_MS = 150;

    /** Part of the grace period that is reserved for the shutdown after the node has left. */
    private static final long SHUTDOWN_RESERVE_MS = 1_000;

    private Main() {}

    /** Runs the program; see {@link ControlCommand} for its subcommands. */
    public static void main(String[] arguments) {
        System.exit(ControlCommand.run(arguments));
    }

    /**
     * Serves until SIGTERM, then ends the process.
     *
     * @throws ReflectiveOperationException if the platform does not support signals
     */
    static void serve(NodeSettings settings)
            throws InterruptedException, ReflectiveOperationException {
        EventLoop loop = new EventLoop();
        StateStore store = new StateStore(Path.of(settings.dataFolder()));
        TallyLog tallyLog = new TallyLog(Path.of(settings.dataFolder()));
        Replica replica = ControlNode.start(settings, loop, store, tallyLog);
        CountDownLatch shutdownLatch = new CountDownLatch(1);
        Signals.setHandler(
                "TERM",
                () -> loop.execute(() -> leave(settings.bounds(), loop, replica, shutdownLatch)));
        Signals.setHandler(
                "HUP",
                () -> loop.execute(() -> LOG.info("ignoring SIGHUP: restart to reload settings")));
        LOG.info("control node {} listens on {}", settings.nodeName(), settings.control());
        shutdownLatch.await();
        Runtime.getRuntime().halt(0);
    }

    /** Leaves the group and then ends the process; a second signal ends it at once. */
    private static void leave(
            NodeSettings.Bounds bounds,
            EventLoop loop,
            Replica replica,
            CountDownLatch shutdownLatch) {
        if (replica.isLeaving()) {
            shutdownLatch.countDown();
            return;
        }
        long timeoutMs = Math.min(bounds.catchUpMs(), bounds.graceMs() - SHUTDOWN_RESERVE_MS);
        replica.leave(timeoutMs, isReleased -> loop.schedule(LINGER_MS, shutdownLatch::countDown));
    }
}
