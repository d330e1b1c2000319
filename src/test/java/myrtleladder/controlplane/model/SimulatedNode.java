package myrtleladder.controlplane.model;

import java.util.List;
import java.util.function.Consumer;
import myrtleladder.http.RequestHead;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Message;
import myrtleladder.replication.Replica;

/** A machine with a disk and links, and the process of a control node that runs on it, if any. */
final class SimulatedNode {
    /** What the settings allow a process that was asked to end. */
    private static final long LEAVE_TIMEOUT_MS = 4_000;

    private static final long LINGER_MS = 150;

    final String address;
    final String control;
    final String zone;
    private final SimulatedCluster cluster;
    private final SimulatedDisk disk;
    private SimulatedProcess process;
    private int startCount;
    private boolean isPowered = true;
    private long frozenUntilMs;

    SimulatedNode(SimulatedCluster cluster, int number) {
        this.cluster = cluster;
        this.address = "n" + number + ":1";
        this.control = "c" + number + ":1";
        this.zone = "z" + number % SimulatedCluster.ZONE_COUNT;
        this.disk =
                new SimulatedDisk(
                        cluster.clock,
                        cluster.random,
                        cluster.isRemoved(Safeguard.SYNC_BEFORE_ANSWER));
    }

    /** Starts a process; {@code isBootstrap} belongs to the first start of all. */
    void start(boolean isBootstrap) {
        if (process != null) {
            process.end();
        }
        startCount++;
        isPowered = true;
        boolean isAlwaysFirstMember =
                cluster.isRemoved(Safeguard.STORE_IDENTITY) && cluster.isSeed(address);
        process =
                new SimulatedProcess(
                        cluster,
                        this,
                        isBootstrap || isAlwaysFirstMember,
                        address + "/" + startCount);
        process.start();
    }

    /** Whether a process is there, frozen or not. */
    boolean isUp() {
        return process != null && !process.hasEnded();
    }

    /** Whether a process is there and not frozen. */
    boolean isRunning() {
        return isUp() && frozenMs() == 0;
    }

    /** For how long the process is frozen from now on, 0 if it is not. */
    long frozenMs() {
        return Math.max(0, frozenUntilMs - cluster.clock.now());
    }

    /** How often a process was started here; tells the processes apart. */
    int startCount() {
        return startCount;
    }

    /** The replica of the last process, null before the first. */
    Replica replica() {
        return process == null ? null : process.replica();
    }

    /** The group of the last view that the process knew. */
    List<Member> group() {
        return replica().view() == null ? List.of() : replica().view().group;
    }

    SimulatedDisk disk() {
        return disk;
    }

    /** Whether the process is primary and confirmed by a majority. */
    boolean isLeading() {
        return isRunning()
                && replica().state() == Replica.State.PRIMARY
                && replica().isRecentlyConfirmed();
    }

    /** Kills the process; the machine refuses connections. */
    void kill() {
        if (process != null) {
            process.end();
        }
        frozenUntilMs = 0;
        disk.interrupt();
    }

    /** Turns the power off; the machine does not answer at all. */
    void powerOff() {
        kill();
        isPowered = false;
    }

    /** Turns the power off and replaces the disk by an empty one. */
    void wipe() {
        powerOff();
        disk.wipe();
    }

    void freeze(long durationMs) {
        frozenUntilMs = cluster.clock.now() + durationMs;
    }

    void thaw() {
        frozenUntilMs = 0;
    }

    /** Asks the process to end (SIGTERM); {@code onEnd} is run once it has. */
    void terminate(Runnable onEnd) {
        if (!isUp()) {
            onEnd.run();
            return;
        }
        SimulatedProcess terminated = process;
        Runnable end =
                () -> {
                    if (!terminated.hasEnded()) {
                        kill();
                        onEnd.run();
                    }
                };
        if (cluster.isRemoved(Safeguard.LEAVE_BEFORE_THE_END)) {
            replica().resign("asked to end");
            cluster.clock.schedule(2 * LINGER_MS, end);
        } else {
            replica().leave(LEAVE_TIMEOUT_MS, isReleased -> cluster.clock.schedule(LINGER_MS, end));
        }
    }

    /** Receives a message of another machine; null is the response of one without process. */
    void receive(byte[] bytes, String from, Consumer<Message> responder) {
        if (!isPowered) {
            return;
        }
        if (isUp()) {
            process.receive(bytes, from, responder);
        } else {
            cluster.network.carry(address, from, () -> responder.accept(null));
        }
    }

    /** Receives an HTTP request of an external client. */
    void handle(RequestHead head, byte[] body, Consumer<SimulatedResponse> responder) {
        if (!isPowered) {
            return;
        }
        if (isUp()) {
            process.handle(head, body, responder);
        } else {
            responder.accept(SimulatedResponse.connectionRefused());
        }
    }

    @Override
    public String toString() {
        if (process == null) {
            return address + " not started";
        }
        return address + (isUp() ? "" : " down") + " " + replica().state() + " " + replica().view();
    }
}
