package myrtleladder.replication;

import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Message;
import myrtleladder.scheduler.Scheduler;

/** A process with a replica, which can be killed, paused and started again, and its disk. */
final class VirtualNode implements Peers, Replica.Listener {
    private static final long CATCH_UP_MS = 4_000;

    final String address;
    final VirtualDisk disk;

    /** The replica of the process that was started last. */
    Replica replica;

    /** Until when the process is paused, in milliseconds of the clock. */
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

    /** Starts a process; {@code bootstrap} says that it is the first start of the system. */
    void start(boolean bootstrap) {
        incarnation++;
        running = true;
        Scheduler process = new ProcessScheduler(incarnation);
        disk.attach(process);
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
                        process,
                        disk,
                        this,
                        this,
                        List::of);
        replica.start();
    }

    /** Ends the process at once; its disk keeps what was saved. */
    void kill() {
        running = false;
        incarnation++;
    }

    /** Ends the process at once and loses its disk. */
    void killAndWipe() {
        kill();
        disk.wipe();
    }

    /** Pauses the process for a time. */
    void pause(long durationMs) {
        pausedUntilMs = cluster.clock.now() + durationMs;
    }

    /** Ends a pause and all faults of the disk, and starts the process if it does not run. */
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

    /** Returns whether the process believes to be the primary. */
    boolean isPrimary() {
        return replica.state() == Replica.State.PRIMARY;
    }

    /** Returns the number of the process among those of this node. */
    int incarnation() {
        return incarnation;
    }

    /** Runs a task of a process: after its pause, and not at all once the process has ended. */
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
        // There are no upstreams here.
    }

    @Override
    public void onPrimacyLost() {
        // The client looks at the role itself.
    }

    /** Timers of one process. */
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
