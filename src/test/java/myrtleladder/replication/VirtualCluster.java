package myrtleladder.replication;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import myrtleladder.protocol.Member;

/**
 * Control nodes with simulated disks and network on one manual clock, and a client that submits
 * changes and checks the invariants: each epoch has only one primary, and no acknowledged change is
 * lost. All delays are drawn from one generator, so the random seed determines the run.
 */
final class VirtualCluster {
    private static final int DEFAULT_SEED_NODES = 3;
    private static final long RECOVERY_MS = 15_000;

    final ManualScheduler clock = new ManualScheduler();
    final SplittableRandom random;
    final Map<String, VirtualNode> nodes = new LinkedHashMap<>();
    final VirtualNetwork network;

    /** The digests of the changes whose commit was reported to the client, in that order. */
    final List<String> acknowledged = new ArrayList<>();

    private final Map<Long, String> primaryOfEpoch = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private final List<Member> seeds = new ArrayList<>();
    private final int toleratedFailures;
    private int changesSubmitted;
    private int storesCreated;

    /** Creates and starts a cluster whose first nodes are the seed nodes. */
    VirtualCluster(long randomSeed, int nodeCount, int seedNodes, int toleratedFailures) {
        this.random = new SplittableRandom(randomSeed);
        this.network = new VirtualNetwork(clock, random, nodes::get);
        this.toleratedFailures = toleratedFailures;
        for (int i = 0; i < seedNodes; i++) {
            seeds.add(Member.of(address(i), controlAddress(i), ""));
        }
        for (int i = 0; i < nodeCount; i++) {
            VirtualNode node = new VirtualNode(this, address(i), controlAddress(i));
            nodes.put(node.address, node);
            node.start(true);
        }
    }

    /** Returns a builder of a cluster of three nodes that tolerates one failure. */
    static Builder builder() {
        return new Builder();
    }

    /** Builds a started cluster. */
    static final class Builder {
        private long randomSeed;
        private int nodeCount = DEFAULT_SEED_NODES;
        private int toleratedFailures = 1;

        Builder randomSeed(long value) {
            randomSeed = value;
            return this;
        }

        Builder nodes(int value) {
            nodeCount = value;
            return this;
        }

        Builder toleratedFailures(int value) {
            toleratedFailures = value;
            return this;
        }

        VirtualCluster start() {
            return new VirtualCluster(randomSeed, nodeCount, DEFAULT_SEED_NODES, toleratedFailures);
        }
    }

    private static String address(int i) {
        return "n" + i + ":1";
    }

    private static String controlAddress(int i) {
        return "c" + i + ":1";
    }

    VirtualNode node(int i) {
        return nodes.get(address(i));
    }

    List<Member> seeds() {
        return seeds;
    }

    int toleratedFailures() {
        return toleratedFailures;
    }

    String newStoreIdentity() {
        return "store-" + storesCreated++;
    }

    /** Partitions a node from all others. */
    void isolate(String address) {
        for (String other : nodes.keySet()) {
            if (!other.equals(address)) {
                network.partition(address, other);
            }
        }
    }

    /** Ends all faults. */
    void repair() {
        network.heal();
        nodes.values().forEach(VirtualNode::repair);
    }

    /**
     * Records the primary of an epoch, and a violation if the epoch already has another primary.
     */
    void recordPrimary(VirtualNode node) {
        long epoch = node.replica.view().epoch;
        String knownPrimary = primaryOfEpoch.putIfAbsent(epoch, node.address);
        if (knownPrimary != null && !knownPrimary.equals(node.address)) {
            violations.add("epoch " + epoch + " has " + knownPrimary + " and " + node.address);
        }
    }

    /** Returns the confirmed primary of the highest epoch, null if there is none. */
    VirtualNode primary() {
        VirtualNode primary = null;
        for (VirtualNode node : nodes.values()) {
            boolean isConfirmedPrimary =
                    node.isRunning()
                            && !node.isPaused()
                            && node.isPrimary()
                            && node.replica.isRecentlyConfirmed();
            if (isConfirmedPrimary
                    && (primary == null || node.replica.epoch() > primary.replica.epoch())) {
                primary = node;
            }
        }
        return primary;
    }

    /** Submits a change to a random node that believes that it is primary and is not busy. */
    void submitChange() {
        List<VirtualNode> primaries =
                nodes.values().stream()
                        .filter(n -> n.isRunning() && n.isPrimary() && !n.replica.isBusy())
                        .toList();
        if (primaries.isEmpty()) {
            return;
        }
        VirtualNode node = primaries.get(random.nextInt(primaries.size()));
        String digest = "order-" + changesSubmitted++;
        List<String> acknowledgedBefore = List.copyOf(acknowledged);
        node.replica.confirm(
                confirmed -> {
                    if (confirmed && !node.replica.isBusy()) {
                        checkIncludesAll(node, acknowledgedBefore);
                        submit(node, digest);
                    }
                });
    }

    private void checkIncludesAll(VirtualNode node, List<String> expected) {
        if (!node.replica.snapshot().changeDigests.containsAll(expected)) {
            violations.add(node.address + " confirmed without " + expected);
        }
    }

    private void submit(VirtualNode node, String digest) {
        long generation = node.replica.snapshot().generation + 1;
        node.replica.submit(
                StateChange.ofDocument(new byte[] {(byte) generation}, generation, digest),
                committed -> {
                    if (committed) {
                        acknowledged.add(digest);
                    }
                });
    }

    /** Ends all faults, waits for recovery and returns all violations of the invariants. */
    List<String> violationsAfterRecovery() {
        repair();
        clock.run(RECOVERY_MS);
        VirtualNode primary = primary();
        if (primary == null) {
            violations.add("no primary after the faults");
        } else if (!primary.replica.snapshot().changeDigests.containsAll(acknowledged)) {
            List<String> lost = new ArrayList<>(acknowledged);
            lost.removeAll(primary.replica.snapshot().changeDigests);
            violations.add("lost " + lost);
        }
        return violations;
    }
}
