package myrtleladder.controlplane.model;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Injects faults into a cluster, runs the cluster while they last, and heals them. */
final class FaultInjector {
    /** During a tolerated fault a change must be acknowledged within this time. */
    private static final long AVAILABILITY_TIMEOUT_MS = 4_000;

    /** The time after which a tolerated fault must no longer affect clients. */
    private static final long FAILOVER_MS = 3_000;

    /** The longest wait for terminating nodes. */
    private static final long LEAVE_TIMEOUT_MS = 4_500;

    /** The kinds of faults; a failed run prints their names. */
    enum Fault {
        KILL,
        POWER_OFF,
        WIPE,
        WIPE_AND_POWER_OFF,
        FREEZE,
        PARTITION,
        PARTITION_ONE_WAY,
        SLOW_LINK,
        REPLACE,
        REPLACE_PLANNED,
        RESTART,
        DISK_SLOW,
        DISK_STALLED,
        DISK_FULL,
        KILL_ALL,
        POWER_OFF_ALL,
        HALVES,
        LINKS_HEALED_IN_TURN,
        SECOND_PARTITION
    }

    private final SimulatedCluster cluster;
    private final SplittableRandom random;

    /** The minimum time from the end of the last fault to the next one. */
    private long pauseMs;

    FaultInjector(SimulatedCluster cluster, SplittableRandom random) {
        this.cluster = cluster;
        this.random = random;
    }

    /** Chooses at most the tolerated number of nodes; often the leader is among them. */
    List<SimulatedNode> chooseVictims() {
        List<SimulatedNode> nodes = new ArrayList<>(cluster.nodes());
        List<SimulatedNode> victims = new ArrayList<>();
        int count = 1 + random.nextInt(cluster.toleratedMachines);
        SimulatedNode leader = cluster.leader();
        if (leader != null && random.nextInt(3) == 0) {
            victims.add(leader);
        }
        while (victims.size() < count) {
            SimulatedNode node = nodes.get(random.nextInt(nodes.size()));
            if (!victims.contains(node)) {
                victims.add(node);
            }
        }
        return victims;
    }

    /**
     * Injects a fault and waits until it is over.
     *
     * @return the milliseconds to wait before the next fault
     */
    long inject(Fault fault, List<SimulatedNode> victims) {
        pauseMs = SimulatedCluster.CATCH_UP_MS;
        switch (fault) {
            case KILL -> injectFor(victims, SimulatedNode::kill, 200 + random.nextInt(3_000));
            case POWER_OFF ->
                    injectFor(victims, SimulatedNode::powerOff, 500 + random.nextInt(6_000));
            case WIPE -> injectFor(victims, SimulatedNode::wipe, 300 + random.nextInt(6_000));
            case WIPE_AND_POWER_OFF -> wipeAndPowerOff(victims);
            case FREEZE -> freeze(victims);
            case PARTITION -> partition(victims, false);
            case PARTITION_ONE_WAY -> partition(victims, true);
            case SLOW_LINK -> injectFor(victims, v -> cluster.network.slowDown(v.address), 4_000);
            case REPLACE -> replace(victims);
            case REPLACE_PLANNED -> replacePlanned(victims);
            case RESTART -> restart(victims);
            case DISK_SLOW -> setDiskModes(victims, SimulatedDisk.Mode.SLOW);
            case DISK_STALLED -> setDiskModes(victims, SimulatedDisk.Mode.STALLED);
            case DISK_FULL -> setDiskModes(victims, SimulatedDisk.Mode.FULL);
            case KILL_ALL ->
                    injectFor(cluster.nodes(), SimulatedNode::kill, 300 + random.nextInt(700));
            case POWER_OFF_ALL ->
                    injectFor(
                            cluster.nodes(), SimulatedNode::powerOff, 300 + random.nextInt(1_000));
            case HALVES -> partitionHalves();
            case LINKS_HEALED_IN_TURN -> healLinksInTurn(victims.get(0));
            case SECOND_PARTITION -> secondPartition(victims);
            default -> throw new IllegalStateException(fault.toString());
        }
        return pauseMs;
    }

    /** The effect of a fault on a node. */
    private interface Injection {
        void applyTo(SimulatedNode node);
    }

    /** Injects a fault and heals it after a time; if it is tolerated, changes must continue. */
    private void injectFor(List<SimulatedNode> victims, Injection injection, long durationMs) {
        new ArrayList<>(victims).forEach(injection::applyTo);
        boolean isTolerated = victims.size() <= cluster.toleratedMachines;
        if (isTolerated && durationMs > FAILOVER_MS + AVAILABILITY_TIMEOUT_MS) {
            cluster.clock.run(FAILOVER_MS);
            cluster.expectAcknowledgement(
                    AVAILABILITY_TIMEOUT_MS, "while " + victims + " are lost");
        } else {
            cluster.clock.run(durationMs);
        }
        cluster.heal();
    }

    private void wipeAndPowerOff(List<SimulatedNode> victims) {
        for (SimulatedNode node : cluster.nodes()) {
            if (victims.contains(node)) {
                node.wipe();
            } else {
                node.powerOff();
            }
        }
        cluster.clock.run(300 + random.nextInt(900));
        cluster.heal();
    }

    private void freeze(List<SimulatedNode> victims) {
        long durationMs = 300L + random.nextInt(9_000);
        victims.forEach(v -> v.freeze(durationMs));
        cluster.clock.run(durationMs + 10);
    }

    private void partition(List<SimulatedNode> victims, boolean isOneWay) {
        boolean isOutbound = random.nextBoolean();
        for (SimulatedNode victim : victims) {
            for (SimulatedNode other : cluster.nodes()) {
                if (victims.contains(other)) {
                    continue;
                }
                if (!isOneWay) {
                    cluster.network.partition(victim.address, other.address);
                } else if (isOutbound) {
                    cluster.network.partitionOneWay(victim.address, other.address);
                } else {
                    cluster.network.partitionOneWay(other.address, victim.address);
                }
            }
        }
        injectFor(victims, v -> {}, 500 + random.nextInt(8_000));
    }

    /** Removes machines permanently; a second later empty ones start at new addresses. */
    private void replace(List<SimulatedNode> victims) {
        victims.forEach(cluster::remove);
        cluster.clock.run(1_000);
        victims.forEach(v -> cluster.addMachine().start(false));
    }

    /**
     * Starts the new machines before it terminates the old ones. Once the old ones have exited, the
     * next fault may follow as soon as the new ones have had their catch-up time.
     */
    private void replacePlanned(List<SimulatedNode> victims) {
        List<SimulatedNode> added = new ArrayList<>();
        victims.forEach(v -> added.add(cluster.addMachine()));
        added.forEach(a -> a.start(false));
        long caughtUpAtMs = cluster.clock.now() + SimulatedCluster.CATCH_UP_MS;
        cluster.clock.run(
                random.nextBoolean() ? 1_000 : SimulatedCluster.CATCH_UP_MS + random.nextInt(500));
        int[] remaining = {victims.size()};
        for (SimulatedNode victim : victims) {
            victim.terminate(
                    () -> {
                        cluster.remove(victim);
                        remaining[0]--;
                    });
        }
        for (long waitedMs = 0; remaining[0] > 0 && waitedMs < LEAVE_TIMEOUT_MS; waitedMs++) {
            cluster.clock.run(1);
        }
        pauseMs = Math.max(0, caughtUpAtMs - cluster.clock.now());
    }

    /** Terminates machines and starts them again with their disks. */
    private void restart(List<SimulatedNode> victims) {
        for (SimulatedNode victim : victims) {
            victim.terminate(
                    () ->
                            cluster.clock.schedule(
                                    200,
                                    () -> {
                                        if (!victim.isUp()) {
                                            victim.start(false);
                                        }
                                    }));
        }
        cluster.clock.run(5_000);
    }

    private void setDiskModes(List<SimulatedNode> victims, SimulatedDisk.Mode mode) {
        injectFor(victims, v -> v.disk().setMode(mode), 1_000 + random.nextInt(8_000));
    }

    /** Partitions one machine from all others, then heals its links in random order. */
    private void healLinksInTurn(SimulatedNode victim) {
        if (random.nextBoolean()) {
            cluster.isolateHoldingBack(victim);
        } else {
            cluster.isolate(victim);
        }
        cluster.clock.run(400 + random.nextInt(1_100));
        List<SimulatedNode> others = cluster.othersThan(victim);
        while (!others.isEmpty()) {
            SimulatedNode healed = others.remove(random.nextInt(others.size()));
            cluster.network.heal(victim.address, healed.address);
            cluster.clock.run(random.nextInt(1_500));
        }
        cluster.heal();
    }

    private void partitionHalves() {
        List<SimulatedNode> nodes = cluster.nodes();
        for (SimulatedNode one : nodes.subList(0, nodes.size() / 2)) {
            for (SimulatedNode other : nodes.subList(nodes.size() / 2, nodes.size())) {
                cluster.network.partition(one.address, other.address);
            }
        }
        cluster.clock.run(1_000 + random.nextInt(5_000));
        cluster.heal();
    }

    /**
     * Disturbs more machines than are tolerated: the cluster may be unavailable but must lose
     * nothing.
     */
    private void secondPartition(List<SimulatedNode> victims) {
        List<SimulatedNode> nodes = cluster.nodes();
        victims.forEach(SimulatedNode::kill);
        cluster.clock.run(random.nextInt(1_500));
        cluster.isolate(nodes.get(random.nextInt(nodes.size())));
        cluster.clock.run(500 + random.nextInt(2_500));
        cluster.heal();
        cluster.clock.run(1_000);
    }
}
