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

/** Memberships as processes of the virtual world; addresses are names. */
public final class VirtualFleet {
    static final long SECOND = 1_000_000;
    static final LinkFault LAN = new LinkFault(false, 200, 300, 0, 0);

    final SimulatedNetwork world;
    final Map<String, Membership> members = new LinkedHashMap<>();
    final List<String> broken = new ArrayList<>();
    final List<Said> events = new ArrayList<>();
    long datagrams;
    long bytes;
    private final GossipSettings settings;
    private final List<String> seeds;
    private final UnaryOperator<byte[]> hears;
    private final UnaryOperator<byte[]> says;
    private final SplittableRandom lives;

    /** What one process came to hold, and when. */
    record Said(long at, String observer, MemberEvent event) {}

    VirtualFleet(long seed, LinkFault links, GossipSettings settings, List<String> seeds) {
        this(seed, links, settings, seeds, UnaryOperator.identity(), UnaryOperator.identity());
    }

    /** One whose members hear and say what is left of their messages by these. */
    VirtualFleet(
            long seed,
            LinkFault links,
            GossipSettings settings,
            List<String> seeds,
            UnaryOperator<byte[]> hears,
            UnaryOperator<byte[]> says) {
        this.world = new SimulatedNetwork(seed, links);
        this.settings = settings;
        this.seeds = seeds;
        this.hears = hears;
        this.says = says;
        this.lives = new SplittableRandom(seed);
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
        world.add(
                process,
                (p, seed, actions) -> {
                    Hosted hosted = new Hosted(p, actions);
                    Membership m =
                            new Membership(
                                    settings,
                                    name,
                                    lives.nextLong(),
                                    0,
                                    p,
                                    MemberMetadata.NONE,
                                    seeds,
                                    seed,
                                    hosted);
                    members.put(p, m);
                    hosted.member = m;
                    return hosted;
                });
    }

    void run(long micros) {
        world.run(world.now() + micros);
    }

    /** All faults are over: links healed, whoever stood still goes on. */
    void calm() {
        world.bring(new Fault.HealAll());
        members.keySet().stream()
                .filter(world::alive)
                .forEach(p -> world.bring(new Fault.Resume(p)));
    }

    List<String> living() {
        return members.keySet().stream().filter(world::alive).toList();
    }

    /**
     * What keeps the living from agreeing that they, in these lives, are all there is; null if they
     * do.
     */
    String disagreement() {
        TreeMap<String, Long> there = new TreeMap<>();
        living().forEach(
                        p ->
                                there.put(
                                        members.get(p).self().name(),
                                        members.get(p).self().startId()));
        for (String p : living()) {
            TreeMap<String, Long> held = new TreeMap<>();
            members.get(p).members().stream()
                    .filter(c -> c.state() == MemberState.ALIVE)
                    .forEach(c -> held.put(c.name(), c.startId()));
            if (!held.equals(there)) {
                TreeSet<String> missing = new TreeSet<>(there.keySet());
                missing.removeAll(held.keySet());
                TreeSet<String> wrong = new TreeSet<>(held.keySet());
                wrong.removeIf(n -> held.get(n).equals(there.get(n)));
                return p + " misses " + missing + " and is wrong on " + wrong;
            }
        }
        return null;
    }

    void follow(FaultPlan plan) {
        world.follow(plan);
    }

    private final class Hosted implements ProtocolCore, Membership.Output {
        private final String process;
        private final Actions actions;
        private final Map<String, MemberUpdate> last = new LinkedHashMap<>();
        private Membership member;
        private long incarnation;
        private long now;

        Hosted(String process, Actions actions) {
            this.process = process;
            this.actions = actions;
        }

        @Override
        public void started(long at) {
            now = at;
            member.start(at);
        }

        @Override
        public void received(long at, String from, byte[] message) {
            now = at;
            member.onDatagram(at, from, hears.apply(message));
            look();
        }

        @Override
        public void due(long at, String token) {
            now = at;
            member.onTimer(at, token);
            look();
        }

        private void look() {
            if (member.self().incarnation() < incarnation) {
                broken.add(process + " went back to incarnation " + member.self().incarnation());
            }
            incarnation = member.self().incarnation();
        }

        @Override
        public void send(String address, byte[] datagram) {
            datagrams++;
            bytes += datagram.length;
            actions.send(address, says.apply(datagram));
        }

        @Override
        public void scheduleTimer(String token, long delayUs) {
            actions.timer(token, delayUs);
        }

        @Override
        public void onEvent(MemberEvent event) {
            events.add(new Said(world.now(), process, event));
            MemberUpdate before = last.put(event.update().name(), event.update());
            if (before != null
                    && before.incarnation() > event.update().incarnation()
                    && !event.update().name().equals(member.self().name())) {
                broken.add(process + " went back from " + before + " to " + event.update());
            }
        }
    }
}
