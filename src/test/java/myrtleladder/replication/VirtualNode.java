package myrtleladder.replication;

import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Message;
import myrtleladder.scheduler.Scheduler;

/**
 * A simulated node: a disk, and a process that runs a replica. The process can be killed, paused
 * and restarted; the disk outlives it.
 */
final class VirtualNode implements PeerTransport, Replica.Listener {
    /** See {@link ReplicaOptions#catchUpMs}. */
    private static final long CATCH_UP_MS = 4_000;

    final String address;
    final VirtualDisk disk;

    /** The replica that the latest process runs or, if it was killed, ran. */
    Replica replica;

    /** The process is paused while the time of the cluster's clock is before this. */
    long pausedUntilMs;

    private final VirtualCluster cluster;
    private final String controlAddress;
    private int incarnation;
    private boolean running;

    VirtualNode(VirtualCluster cluster, String address, String controlAddress) {
        this.cluster = cluster;
        this.address = address;
        this.controlAddress = controlAddress;
        this.disk = new VirtualDisk(cluster.random);
    }

    /**
     * Starts a process.
     *
     * @param bootstrap whether this is the first start of the system
     */
    void start(boolean bootstrap) {
        incarnation++;
        running = true;
        Scheduler processScheduler = new ProcessScheduler(incarnation);
        disk.attach(processScheduler);
        ReplicaOptions options =
                new ReplicaOptions(
                        Member.of(address, controlAddress, ""),
                        cluster.toleratedFailures(),
                        bootstrap,
                        cluster.seeds(),
                        CATCH_UP_MS);
        replica =
                new Replica(
                        options,
                        disk.load(),
                        cluster.newStoreIdentity(),
                        processScheduler,
                        disk,
                        this,
                        this,
                        List::of);
        replica.start();
    }

    /** Kills the process. The disk keeps all completed saves. */
    void kill() {
        running = false;
        incarnation++;
    }

    /** Kills the process and erases the disk. */
    void killAndWipe() {
        kill();
        disk.wipe();
    }

    /** Pauses the process for the given duration. */
    void pause(long durationMs) {
        pausedUntilMs = cluster.clock.now() + durationMs;
    }

    /** Ends a pause and all disk faults, and starts the process if it is not running. */
    void repair() {
        pausedUntilMs = 0;
        disk.repair();
        if (!running) {
            start(false);
        }
    }

    boolean isRunning() {
        return running;
    }

    boolean isPaused() {
        return cluster.clock.now() < pausedUntilMs;
    }

    /** Returns whether the process believes that it is primary. */
    boolean isPrimary() {
        return replica.state() == Replica.State.PRIMARY;
    }

    /** Returns a number that increases with each start and each kill of the process. */
    int incarnation() {
        return incarnation;
    }

    /**
     * Runs a task of the process with the given incarnation: now, or after the pause if the process
     * is paused. Does nothing if that process has ended by then.
     */
    void execute(int ofIncarnation, Runnable task) {
        if (!running || incarnation != ofIncarnation) {
            return;
        }
        if (isPaused()) {
            long remainingMs = pausedUntilMs - cluster.clock.now();
            cluster.clock.schedule(remainingMs + 1, () -> execute(ofIncarnation, task));
            return;
        }
        task.run();
    }

    @Override
    public void call(String to, Message message, long timeoutMs, Consumer<Message> answer) {
        cluster.network.call(this, to, message, timeoutMs, answer);
    }

    @Override
    public void onPrimacyGained(Collection<InstanceRecord> instances) {
        cluster.recordPrimary(this);
    }

    @Override
    public void onInstancesReceived(Collection<InstanceRecord> instances) {
        // The simulation has no upstreams.
    }

    @Override
    public void onPrimacyLost() {
        // The simulated client reads the role of the replica instead.
    }

    /** The scheduler of one process. Its timers have no effect once the process has ended. */
    private final class ProcessScheduler implements Scheduler {
        private final int ofIncarnation;

        ProcessScheduler(int ofIncarnation) {
            this.ofIncarnation = ofIncarnation;
        }

        @Override
        public long now() {
            return cluster.clock.now();
        }

        @Override
        public Timer schedule(long delayMs, Runnable task) {
            return cluster.clock.schedule(delayMs, () -> execute(ofIncarnation, task));
        }
    }
}
