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
 * The control side on one manual clock: nodes that run the code under test, with disks and links,
 * and everybody who calls them. What the callers have seen is judged by a {@link HistoryChecker}.
 */
final class SimulatedCluster {
    /** How long an answer to a poll may lag behind an acknowledgement. */
    static final long STALE_POLL_MS = 800;

    private static final int SEEDS = 3;
    private static final long RETURN_WITHIN = 800;
    private static final int BALANCERS = 2;
    private static final int UPSTREAMS = 2;

    final ManualScheduler clock = new ManualScheduler();
    final SplittableRandom random;
    final SimulatedNetwork network;
    final HistoryChecker history = new HistoryChecker();
    final int tolerated;
    final List<SimulatedOperator> operators = new ArrayList<>();
    final List<SimulatedBalancer> balancers = new ArrayList<>();
    private final Map<String, SimulatedNode> nodes = new LinkedHashMap<>();
    private final List<SimulatedNode> listed = new ArrayList<>();
    private final Safeguard missing;
    private final MessageForger forger;
    private final long catchUpMs;
    private List<Member> seeds = new ArrayList<>();
    private Consumer<SimulatedNode> onPoint = node -> {};

    SimulatedCluster(long seed, int size, int tolerated, long catchUpMs, Safeguard missing) {
        this.random = new SplittableRandom(seed);
        this.network = new SimulatedNetwork(clock, random);
        this.tolerated = tolerated;
        this.catchUpMs = catchUpMs;
        this.missing = missing;
        this.forger = new MessageForger(missing, this);
        for (int i = 0; i < size; i++) {
            SimulatedNode node = add();
            if (i < SEEDS) {
                seeds.add(Member.of(node.address, node.control, ""));
            }
        }
    }

    private SimulatedNode add() {
        SimulatedNode node = new SimulatedNode(this, nodes.size());
        nodes.put(node.address, node);
        listed.add(node);
        return node;
    }

    /** Starts all nodes for the first time, then whoever calls them. */
    void begin() {
        for (SimulatedNode node : listed) {
            clock.schedule(random.nextInt(300), () -> node.start(true));
        }
        clock.run(2_500);
        for (int i = 0; i < BALANCERS; i++) {
            SimulatedBalancer balancer = new SimulatedBalancer(this, "e" + i);
            balancers.add(balancer);
            balancer.poll();
        }
        for (String name : List.of("first", "second")) {
            SimulatedOperator operator = new SimulatedOperator(this, name);
            operators.add(operator);
            operator.next();
        }
        new SimulatedReader(this).read();
        for (int i = 0; i < UPSTREAMS; i++) {
            new SimulatedUpstream(this, "u" + i).start();
        }
    }

    boolean without(Safeguard guard) {
        return missing == guard;
    }

    MessageForger forger() {
        return forger;
    }

    long catchUpMs() {
        return catchUpMs;
    }

    List<Member> seeds() {
        return seeds;
    }

    boolean isSeed(String address) {
        return seeds.stream().anyMatch(s -> s.address.equals(address));
    }

    /** The settings name other seeds from now on: processes that start read them. */
    void exchangeSeeds() {
        seeds = new ArrayList<>();
        for (SimulatedNode node :
                listed.subList(Math.max(0, listed.size() - SEEDS), listed.size())) {
            seeds.add(Member.of(node.address, node.control, ""));
        }
    }

    /** The nodes of the platform's list. */
    List<SimulatedNode> listedNodes() {
        return listed;
    }

    /** Another machine with an empty disk at a new address. */
    SimulatedNode addMachine() {
        return add();
    }

    /** A machine is removed for good. */
    void remove(SimulatedNode node) {
        node.powerOff();
        listed.remove(node);
        if (isSeed(node.address)) {
            exchangeSeeds();
        }
    }

    SimulatedNode nodeAt(String location) {
        for (SimulatedNode node : nodes.values()) {
            if (location.startsWith("http://" + node.control + "/")) {
                return node;
            }
        }
        return null;
    }

    /** Whether two machines reach each other and the second one answers. */
    boolean reaches(String from, String to) {
        SimulatedNode peer = nodes.get(to);
        return peer != null && peer.running();
    }

    void arrive(String to, byte[] bytes, String from, Consumer<Message> back) {
        SimulatedNode node = nodes.get(to);
        if (node != null) {
            node.arrive(bytes, from, back);
        }
    }

    /** The node that leads, null if none does. */
    SimulatedNode leader() {
        SimulatedNode found = null;
        for (SimulatedNode node : listed) {
            boolean later =
                    found == null || node.up() && node.replica().epoch() > found.replica().epoch();
            if (node.up() && node.leads() && later) {
                found = node;
            }
        }
        return found;
    }

    /** Calls {@code task} at each point of the protocol: sends, arrivals, syncs and answers. */
    void atPoints(Consumer<SimulatedNode> task) {
        onPoint = task;
    }

    void point(SimulatedNode node) {
        onPoint.accept(node);
    }

    /** Checks a document that was read; its generation. */
    long checkRead(byte[] document, long bound, String where) {
        long generation = OperatorChange.generationIn(document);
        history.shown(OperatorChange.nameIn(document), generation, where);
        history.notOlder(generation, bound, where);
        return generation;
    }

    /** Ends all troubles; nodes that are down start again. */
    void mend() {
        network.heal();
        for (SimulatedNode node : listed) {
            node.thaw();
            node.disk().mode(SimulatedDisk.Mode.SOUND);
        }
        // they come back together or one after the other
        long spread = random.nextBoolean() ? 1 : RETURN_WITHIN;
        for (SimulatedNode node : listed) {
            if (!node.up()) {
                clock.schedule(random.nextLong(spread), () -> startAgain(node));
            }
        }
        clock.run(spread);
    }

    private void startAgain(SimulatedNode node) {
        if (!node.up() && listed.contains(node)) {
            node.start(false);
        }
    }

    /** Waits until an order or a departure is acknowledged, or for a time at most. */
    void awaitPromise(long longest) {
        int before = history.promises();
        long end = clock.now() + longest;
        while (clock.now() < end && history.promises() == before) {
            clock.run(1);
        }
    }

    /** Whether an order is acknowledged within a time from now on; none is lost on its way. */
    void expectAcknowledgement(long within, String when) {
        operators.forEach(operator -> operator.loses(0));
        int before = history.acknowledgements();
        long end = clock.now() + within;
        while (clock.now() < end && history.acknowledgements() == before) {
            clock.run(100);
        }
        if (history.acknowledgements() == before) {
            history.fault("no order is acknowledged " + when + ": " + listed);
        }
    }

    /** Whether all nodes are members of one settled view. */
    void expectWhole(String when) {
        SimulatedNode leader = leader();
        if (leader == null) {
            history.fault("no primary " + when + ": " + listed);
            return;
        }
        for (SimulatedNode node : listed) {
            if (!leader.group().contains(node.replica().self())) {
                history.fault(node.address + " is no member " + when + ": " + leader);
            }
        }
    }
}
