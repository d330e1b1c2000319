package myrtleladder.gossip;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.UnaryOperator;
import myrtleladder.testbed.fault.Fault;
import myrtleladder.testbed.fault.FaultPlan;
import myrtleladder.testbed.fault.LinkFault;
import myrtleladder.testbed.simulation.ProtocolCore;
import myrtleladder.testbed.simulation.SimulatedNetwork;

/** Memberships as processes of the virtual network; addresses are names. */
public final class SimulatedGossipCluster {
    static final long SECOND_US = 1_000_000;
    static final LinkFault LAN_LINK = new LinkFault(false, 200, 300, 0, 0);

    final SimulatedNetwork network;
    final Map<String, Membership> members = new LinkedHashMap<>();
    final List<String> violations = new ArrayList<>();
    final List<ObservedEvent> events = new ArrayList<>();
    long datagramCount;
    long byteCount;
    private final GossipSettings settings;
    private final List<String> seeds;
    private final UnaryOperator<byte[]> incoming;
    private final UnaryOperator<byte[]> outgoing;
    private final SplittableRandom startIds;

    /** An event that one process reported, and when. */
    record ObservedEvent(long atUs, String observer, MemberEvent event) {}

    SimulatedGossipCluster(
            long seed, LinkFault links, GossipSettings settings, List<String> seeds) {
        this(seed, links, settings, seeds, UnaryOperator.identity(), UnaryOperator.identity());
    }

    /** One whose datagrams are changed by these on their way out and in. */
    SimulatedGossipCluster(
            long seed,
            LinkFault links,
            GossipSettings settings,
            List<String> seeds,
            UnaryOperator<byte[]> incoming,
            UnaryOperator<byte[]> outgoing) {
        this.network = new SimulatedNetwork(seed, links);
        this.settings = settings;
        this.seeds = seeds;
        this.incoming = incoming;
        this.outgoing = outgoing;
        this.startIds = new SplittableRandom(seed);
    }

    /** Names of so many processes. */
    public static List<String> names(int count) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add("m" + i);
        }
        return names;
    }

    void add(String process) {
        add(process, process);
    }

    /** A process whose member has another name than its address, as two under one name have. */
    void add(String process, String name) {
        network.add(
                process,
                (p, seed, actions) -> {
                    SimulatedMember simulated = new SimulatedMember(p, actions);
                    Membership m =
                            new Membership(
                                    settings,
                                    name,
                                    startIds.nextLong(),
                                    0,
                                    p,
                                    MemberMetadata.NONE,
                                    seeds,
                                    seed,
                                    simulated);
                    members.put(p, m);
                    simulated.member = m;
                    return simulated;
                });
    }

    void run(long durationUs) {
        network.run(network.now() + durationUs);
    }

    /** Ends all faults: heals links and resumes processes. */
    void endAllFaults() {
        network.bring(new Fault.HealAll());
        members.keySet().stream()
                .filter(network::alive)
                .forEach(p -> network.bring(new Fault.Resume(p)));
    }

    List<String> livingProcesses() {
        return members.keySet().stream().filter(network::alive).toList();
    }

    /**
     * What keeps the living from agreeing that they, in these startIds, are all there is; null if
     * they do.
     */
    String disagreement() {
        TreeMap<String, Long> expected = new TreeMap<>();
        livingProcesses()
                .forEach(
                        p ->
                                expected.put(
                                        members.get(p).self().name(),
                                        members.get(p).self().startId()));
        for (String p : livingProcesses()) {
            TreeMap<String, Long> held = new TreeMap<>();
            members.get(p).members().stream()
                    .filter(c -> c.state() == MemberState.ALIVE)
                    .forEach(c -> held.put(c.name(), c.startId()));
            if (!held.equals(expected)) {
                TreeSet<String> missing = new TreeSet<>(expected.keySet());
                missing.removeAll(held.keySet());
                TreeSet<String> wrong = new TreeSet<>(held.keySet());
                wrong.removeIf(n -> held.get(n).equals(expected.get(n)));
                return p + " misses " + missing + " and is wrong on " + wrong;
            }
        }
        return null;
    }

    void follow(FaultPlan plan) {
        network.follow(plan);
    }

    private final class SimulatedMember implements ProtocolCore, Membership.Output {
        private final String process;
        private final Actions actions;
        private final Map<String, MemberUpdate> last = new LinkedHashMap<>();
        private Membership member;
        private long incarnation;

        SimulatedMember(String process, Actions actions) {
            this.process = process;
            this.actions = actions;
        }

        @Override
        public void started(long at) {
            member.start(at);
        }

        @Override
        public void received(long at, String from, byte[] message) {
            member.onDatagram(at, from, incoming.apply(message));
            checkIncarnation();
        }

        @Override
        public void due(long at, String token) {
            member.onTimer(at, token);
            checkIncarnation();
        }

        private void checkIncarnation() {
            if (member.self().incarnation() < incarnation) {
                violations.add(
                        process + " went back to incarnation " + member.self().incarnation());
            }
            incarnation = member.self().incarnation();
        }

        @Override
        public void send(String address, byte[] datagram) {
            datagramCount++;
            byteCount += datagram.length;
            actions.send(address, outgoing.apply(datagram));
        }

        @Override
        public void scheduleTimer(String token, long delayUs) {
            actions.timer(token, delayUs);
        }

        @Override
        public void onEvent(MemberEvent event) {
            events.add(new ObservedEvent(network.now(), process, event));
            MemberUpdate before = last.put(event.update().name(), event.update());
            if (before != null
                    && before.incarnation() > event.update().incarnation()
                    && !event.update().name().equals(member.self().name())) {
                violations.add(process + " went back from " + before + " to " + event.update());
            }
        }
    }
}
