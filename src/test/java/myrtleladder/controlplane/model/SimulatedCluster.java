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
 * judges what the callers have seen. The same seed gives the same run.
 */
final class SimulatedCluster {
    /** How long after a change is acknowledged polls may still be answered without it. */
    static final long MAX_POLL_STALENESS_MS = 800;

    /** The catch-up time of the settings. */
    static final long CATCH_UP_MS = 4_000;

    /** Nodes are spread over this many zones, one after the other. */
    static final int ZONE_COUNT = 4;

    /** How many zones may be lost at a time. */
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

    /** How many machines may be lost at a time. */
    final int tolerated;

    final List<SimulatedOperator> operators = new ArrayList<>();
    final List<SimulatedBalancer> balancers = new ArrayList<>();
    private final Map<String, SimulatedNode> nodeByAddress = new LinkedHashMap<>();

    /** The nodes that are not removed. */
    private final List<SimulatedNode> nodes = new ArrayList<>();

    private final Safeguard removedSafeguard;
    private final boolean hasTallies;
    private final MessageForger forger;
    private List<Member> seeds = new ArrayList<>();
    private Consumer<SimulatedNode> onFaultPoint = node -> {};

    private SimulatedCluster(Builder builder) {
        this.random = new SplittableRandom(builder.seed);
        this.network = new SimulatedNetwork(clock, random);
        this.tolerated = builder.tolerated;
        this.removedSafeguard = builder.removedSafeguard;
        this.hasTallies = builder.hasTallies;
        this.forger = new MessageForger(removedSafeguard, this);
        for (int i = 0; i < builder.size; i++) {
            SimulatedNode node = addMachine();
            if (i < SEED_COUNT) {
                seeds.add(Member.of(node.address, node.control, ""));
            }
        }
    }

    /** A cluster with this number of nodes; it tolerates as many losses as that number allows. */
    static Builder ofSize(int size) {
        return new Builder(size);
    }

    /** Sets a cluster up. */
    static final class Builder {
        private static final int MIN_SIZE_FOR_TWO_LOSSES = 5;

        private final int size;
        private long seed;
        private int tolerated;
        private Safeguard removedSafeguard;
        private boolean hasTallies;

        private Builder(int size) {
            this.size = size;
            this.tolerated = size >= MIN_SIZE_FOR_TWO_LOSSES ? 2 : 1;
        }

        /** Determines all that is random. */
        Builder seed(long value) {
            seed = value;
            return this;
        }

        /** Leaves a safeguard out of the protocol; null for none. */
        Builder without(Safeguard safeguard) {
            removedSafeguard = safeguard;
            return this;
        }

        /** Lets the nodes serve tallies. */
        Builder withTallies() {
            hasTallies = true;
            return this;
        }

        SimulatedCluster build() {
            return new SimulatedCluster(this);
        }
    }

    /** Starts all nodes for the first time, then those who call them. */
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

    /** Whether this run goes without a safeguard. */
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

    /** Makes the last nodes the seeds: processes that start from now on read them. */
    void replaceSeeds() {
        seeds = new ArrayList<>();
        int first = Math.max(0, nodes.size() - SEED_COUNT);
        for (SimulatedNode node : nodes.subList(first, nodes.size())) {
            seeds.add(Member.of(node.address, node.control, ""));
        }
    }

    /** The nodes of the platform's list: all that are not removed. */
    List<SimulatedNode> nodes() {
        return nodes;
    }

    /** Adds a machine with an empty disk at a new address; it is not started. */
    SimulatedNode addMachine() {
        SimulatedNode node = new SimulatedNode(this, nodeByAddress.size());
        nodeByAddress.put(node.address, node);
        nodes.add(node);
        return node;
    }

    /** Removes a machine for good. */
    void remove(SimulatedNode node) {
        node.powerOff();
        nodes.remove(node);
        if (isSeed(node.address)) {
            replaceSeeds();
        }
    }

    /** The node to which a redirect leads, null if there is none. */
    SimulatedNode nodeAtLocation(String location) {
        for (SimulatedNode node : nodeByAddress.values()) {
            if (location.startsWith("http://" + node.control + "/")) {
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

    /** Delivers a message that the network carried. */
    void deliver(String to, byte[] bytes, String from, Consumer<Message> responder) {
        SimulatedNode node = nodeByAddress.get(to);
        if (node != null) {
            node.receive(bytes, from, responder);
        }
    }

    /** The node that leads, null if none does. */
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
     * Checks a document that was read; its generation.
     *
     * @param minGeneration the newest generation that was acknowledged before the read was sent
     */
    long checkRead(byte[] document, long minGeneration, String reader) {
        long generation = OperatorChange.generationIn(document);
        history.checkShown(OperatorChange.nameIn(document), generation, reader);
        history.checkNotOlder(generation, minGeneration, reader);
        return generation;
    }

    /** Ends all faults; nodes that are down start again. */
    void heal() {
        network.heal();
        for (SimulatedNode node : nodes) {
            node.thaw();
            node.disk().setMode(SimulatedDisk.Mode.SOUND);
        }
        // they come back together or one after the other
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

    /** Waits until a change or a departure is acknowledged, or for a time at most. */
    void awaitCommitment(long timeoutMs) {
        int before = history.commitmentCount();
        long endMs = clock.now() + timeoutMs;
        while (clock.now() < endMs && history.commitmentCount() == before) {
            clock.run(1);
        }
    }

    /** Checks that a change is acknowledged within a time; no acknowledgement is lost meanwhile. */
    void expectAcknowledgement(long timeoutMs, String situation) {
        operators.forEach(operator -> operator.loseAcknowledgements(0));
        int before = history.acknowledgementCount();
        long endMs = clock.now() + timeoutMs;
        while (clock.now() < endMs && history.acknowledgementCount() == before) {
            clock.run(100);
        }
        if (history.acknowledgementCount() == before) {
            history.addViolation("no order is acknowledged " + situation + ": " + nodes);
        }
    }

    /** Checks that the order to drain a zone is acknowledged within a time. */
    void expectDrain(long timeoutMs, String situation) {
        int before = history.drainCount();
        long endMs = clock.now() + timeoutMs;
        while (clock.now() < endMs && history.drainCount() == before) {
            clock.run(100);
        }
        if (history.drainCount() == before) {
            history.addViolation("no zone is drained " + situation + ": " + nodes);
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
                history.addViolation(node.address + " is no member " + situation + ": " + leader);
            }
        }
    }
}
