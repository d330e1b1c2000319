package myrtleladder.controlplane.model;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Message;
import myrtleladder.replication.ManualScheduler;

/**
 * The control plane in simulated time: nodes that run the code under test, with disks and links,
 * and the operators, readers, balancers and upstreams that call them. A {@link HistoryChecker}
 * checks the responses to the callers. The same seed gives the same run.
 */
final class SimulatedCluster {
    /** How long polls may return a state older than an acknowledged change. */
    static final long MAX_POLL_STALENESS_MS = 800;

    /** The catch-up time of the settings. */
    static final long CATCH_UP_MS = 4_000;

    /** Nodes are assigned in turn to this many zones. */
    static final int ZONE_COUNT = 4;

    /** How many zones may be lost at once. */
    static final int TOLERATED_ZONES = 1;

    private static final int SEED_COUNT = 3;
    private static final int BALANCER_COUNT = 2;
    private static final int UPSTREAM_COUNT = 2;
    private static final int FIRST_START_SPREAD_MS = 300;
    private static final long FIRST_ELECTION_MS = 2_500;
    private static final long RESTART_SPREAD_MS = 800;

    final ManualScheduler clock = new ManualScheduler();
    final SplittableRandom random;
    final SimulatedNetwork network;
    final HistoryChecker history = new HistoryChecker();
    final ProtocolChecker protocol = new ProtocolChecker(history);

    /** How many machines may be lost at once. */
    final int toleratedMachines;

    final List<SimulatedOperator> operators = new ArrayList<>();
    final List<SimulatedBalancer> balancers = new ArrayList<>();
    private final Map<String, SimulatedNode> nodeByAddress = new LinkedHashMap<>();

    /** The nodes that were not removed. */
    private final List<SimulatedNode> nodes = new ArrayList<>();

    private final Safeguard removedSafeguard;
    private final boolean hasTallies;
    private final MessageForger forger;
    private List<Member> seeds = new ArrayList<>();
    private Consumer<SimulatedNode> onFaultPoint = node -> {};

    private SimulatedCluster(Builder builder) {
        this.random = new SplittableRandom(builder.seed);
        this.network = new SimulatedNetwork(clock, random);
        this.toleratedMachines = builder.toleratedMachines;
        this.removedSafeguard = builder.removedSafeguard;
        this.hasTallies = builder.hasTallies;
        this.forger = new MessageForger(removedSafeguard, this);
        for (int i = 0; i < builder.size; i++) {
            SimulatedNode node = addMachine();
            if (i < SEED_COUNT) {
                seeds.add(Member.of(node.address, node.controlAddress, ""));
            }
        }
    }

    /** Builds a cluster with this number of nodes, which determines the tolerated losses. */
    static Builder ofSize(int size) {
        return new Builder(size);
    }

    /** Builder of a cluster. */
    static final class Builder {
        private static final int MIN_SIZE_FOR_TWO_LOSSES = 5;

        private final int size;
        private long seed;
        private int toleratedMachines;
        private Safeguard removedSafeguard;
        private boolean hasTallies;

        private Builder(int size) {
            this.size = size;
            this.toleratedMachines = size >= MIN_SIZE_FOR_TWO_LOSSES ? 2 : 1;
        }

        /** Sets the seed of all random choices. */
        Builder seed(long value) {
            seed = value;
            return this;
        }

        /** Removes a safeguard from the protocol; null for none. */
        Builder without(Safeguard safeguard) {
            removedSafeguard = safeguard;
            return this;
        }

        /** Makes the nodes serve tallies. */
        Builder withTallies() {
            hasTallies = true;
            return this;
        }

        SimulatedCluster build() {
            return new SimulatedCluster(this);
        }
    }

    /** Starts all nodes for the first time, then the callers. */
    void start() {
        startNodes();
        startCallers();
    }

    /** Starts all nodes for the first time. */
    void startNodes() {
        for (SimulatedNode node : nodes) {
            clock.schedule(random.nextInt(FIRST_START_SPREAD_MS), () -> node.start(true));
        }
        clock.run(FIRST_ELECTION_MS);
    }

    private void startCallers() {
        for (int i = 0; i < BALANCER_COUNT; i++) {
            SimulatedBalancer balancer = new SimulatedBalancer(this, "e" + i);
            balancers.add(balancer);
            balancer.poll();
        }
        for (String name : List.of("first", "second")) {
            SimulatedOperator operator = new SimulatedOperator(this, name);
            operators.add(operator);
            operator.startChange();
        }
        new SimulatedReader(this).read();
        new SimulatedEvacuator(this).drainNext();
        for (int i = 0; i < UPSTREAM_COUNT; i++) {
            new SimulatedUpstream(this, "u" + i).start();
        }
    }

    /** Whether the nodes serve tallies. */
    boolean hasTallies() {
        return hasTallies;
    }

    /** Whether a safeguard is removed in this run. */
    boolean isRemoved(Safeguard safeguard) {
        return removedSafeguard == safeguard;
    }

    MessageForger forger() {
        return forger;
    }

    List<Member> seeds() {
        return seeds;
    }

    boolean isSeed(String address) {
        return seeds.stream().anyMatch(seed -> seed.address.equals(address));
    }

    /** Makes the newest nodes the seeds of processes that start from now on. */
    void replaceSeeds() {
        seeds = new ArrayList<>();
        int first = Math.max(0, nodes.size() - SEED_COUNT);
        for (SimulatedNode node : nodes.subList(first, nodes.size())) {
            seeds.add(Member.of(node.address, node.controlAddress, ""));
        }
    }

    /** The platform's list of nodes: all that were not removed. */
    List<SimulatedNode> nodes() {
        return nodes;
    }

    /** All nodes but one, in a list that later changes do not affect. */
    List<SimulatedNode> othersThan(SimulatedNode node) {
        List<SimulatedNode> others = new ArrayList<>(nodes);
        others.remove(node);
        return others;
    }

    /** Partitions a node from all others; the messages between them are dropped. */
    void isolate(SimulatedNode node) {
        othersThan(node).forEach(other -> network.partition(node.address, other.address));
    }

    /** Partitions a node from all others; its links hold their messages back until healed. */
    void isolateHoldingBack(SimulatedNode node) {
        othersThan(node).forEach(other -> network.holdBack(node.address, other.address));
    }

    /** Adds a machine with an empty disk at a new address; it is not started. */
    SimulatedNode addMachine() {
        SimulatedNode node = new SimulatedNode(this, nodeByAddress.size());
        nodeByAddress.put(node.address, node);
        nodes.add(node);
        return node;
    }

    /** Removes a machine permanently. */
    void remove(SimulatedNode node) {
        node.powerOff();
        nodes.remove(node);
        if (isSeed(node.address)) {
            replaceSeeds();
        }
    }

    /** The target node of a redirect, null if there is none. */
    SimulatedNode nodeAtLocation(String location) {
        for (SimulatedNode node : nodeByAddress.values()) {
            if (location.startsWith("http://" + node.controlAddress + "/")) {
                return node;
            }
        }
        return null;
    }

    /** Whether a process runs at an address, partitioned or not. */
    boolean isRunningAt(String address) {
        SimulatedNode node = nodeByAddress.get(address);
        return node != null && node.isRunning();
    }

    /** Delivers a message to the node at an address, if there is one. */
    void deliver(String to, byte[] bytes, String from, Consumer<Message> responder) {
        SimulatedNode node = nodeByAddress.get(to);
        if (node != null) {
            node.receive(bytes, from, responder);
        }
    }

    /** The leader with the highest epoch, null if there is none. */
    SimulatedNode leader() {
        SimulatedNode leader = null;
        for (SimulatedNode node : nodes) {
            boolean isLater =
                    leader == null
                            || (node.isUp() && node.replica().epoch() > leader.replica().epoch());
            if (node.isUp() && node.isLeading() && isLater) {
                leader = node;
            }
        }
        return leader;
    }

    /** Calls {@code task} at each point of the protocol: sends, arrivals, syncs and responses. */
    void onFaultPoint(Consumer<SimulatedNode> task) {
        onFaultPoint = task;
    }

    void reachFaultPoint(SimulatedNode node) {
        onFaultPoint.accept(node);
    }

    /**
     * Checks a document that was read and returns its generation.
     *
     * @param minGeneration the newest generation acknowledged before the read was sent
     */
    long checkRead(byte[] document, long minGeneration, String reader) {
        long generation = OperatorChange.generationIn(document);
        history.checkObservedChange(OperatorChange.nameIn(document), generation, reader);
        history.checkNotOlder(generation, minGeneration, reader);
        return generation;
    }

    /** Ends all faults and restarts the nodes that are down. */
    void heal() {
        network.heal();
        for (SimulatedNode node : nodes) {
            node.thaw();
            node.disk().setMode(SimulatedDisk.Mode.SOUND);
        }
        // the nodes restart together or spread over time
        long spreadMs = random.nextBoolean() ? 1 : RESTART_SPREAD_MS;
        for (SimulatedNode node : nodes) {
            if (!node.isUp()) {
                clock.schedule(random.nextLong(spreadMs), () -> restart(node));
            }
        }
        clock.run(spreadMs);
    }

    private void restart(SimulatedNode node) {
        if (!node.isUp() && nodes.contains(node)) {
            node.start(false);
        }
    }

    /** Waits until a change or a departure is acknowledged, or for the timeout. */
    void awaitCommitment(long timeoutMs) {
        int before = history.commitmentCount();
        long endMs = clock.now() + timeoutMs;
        while (clock.now() < endMs && history.commitmentCount() == before) {
            clock.run(1);
        }
    }

    /** Checks that a change is acknowledged in time; stops the loss of responses. */
    void expectAcknowledgement(long timeoutMs, String situation) {
        operators.forEach(operator -> operator.setResponseLossRatio(0));
        int before = history.acknowledgementCount();
        long endMs = clock.now() + timeoutMs;
        while (clock.now() < endMs && history.acknowledgementCount() == before) {
            clock.run(100);
        }
        if (history.acknowledgementCount() == before) {
            history.addViolation("no change was acknowledged " + situation + ": " + nodes);
        }
    }

    /** Checks that the request to drain a zone is acknowledged in time. */
    void expectDrain(long timeoutMs, String situation) {
        int before = history.drainCount();
        long endMs = clock.now() + timeoutMs;
        while (clock.now() < endMs && history.drainCount() == before) {
            clock.run(100);
        }
        if (history.drainCount() == before) {
            history.addViolation("no zone was drained " + situation + ": " + nodes);
        }
    }

    /** Checks that there is a primary and that all nodes are members of its view. */
    void expectAllAreMembers(String situation) {
        SimulatedNode leader = leader();
        if (leader == null) {
            history.addViolation("no primary " + situation + ": " + nodes);
            return;
        }
        for (SimulatedNode node : nodes) {
            if (!leader.group().contains(node.replica().self())) {
                history.addViolation(
                        node.address + " is not a member " + situation + ": " + leader);
            }
        }
    }
}
