package myrtleladder.controlplane.model;

import java.util.List;
import java.util.function.Consumer;
import myrtleladder.http.RequestHead;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Message;
import myrtleladder.replication.Replica;

/** A machine with a disk and links, and the control node process that runs on it, if any. */
final class SimulatedNode {
    /** The time that the settings allow a terminating process. */
    private static final long LEAVE_TIMEOUT_MS = 4_000;

    private static final long EXIT_DELAY_MS = 150;

    final String address;
    final String controlAddress;
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
        this.controlAddress = "c" + number + ":1";
        this.zone = "z" + number % SimulatedCluster.ZONE_COUNT;
        this.disk =
                new SimulatedDisk(
                        cluster.clock,
                        cluster.random,
                        cluster.isRemoved(Safeguard.SYNC_BEFORE_ANSWER));
    }

    /** Starts a process; {@code isBootstrap} is true only for the first start of the cluster. */
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

    /** Whether a process exists, frozen or not. */
    boolean isUp() {
        return process != null && !process.hasEnded();
    }

    /** Whether a process exists and is not frozen. */
    boolean isRunning() {
        return isUp() && frozenMs() == 0;
    }

    /** The remaining time for which the process is frozen, 0 if it is not. */
    long frozenMs() {
        return Math.max(0, frozenUntilMs - cluster.clock.now());
    }

    /** How often a process was started on this machine; distinguishes its processes. */
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

    /** Terminates the process as by SIGTERM; {@code onEnd} runs after its exit. */
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
            cluster.clock.schedule(2 * EXIT_DELAY_MS, end);
        } else {
            replica()
                    .leave(
                            LEAVE_TIMEOUT_MS,
                            isReleased -> cluster.clock.schedule(EXIT_DELAY_MS, end));
        }
    }

    /** Receives a message of another machine; without a process the response is null. */
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
