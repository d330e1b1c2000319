package myrtleladder.consensus;

import static myrtleladder.gossip.SimulatedGossipCluster.names;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.UnaryOperator;
import myrtleladder.cluster.FaultPointInjector;
import myrtleladder.gossip.MemberEvent;
import myrtleladder.gossip.MemberMetadata;
import myrtleladder.gossip.Membership;
import myrtleladder.testbed.fault.Fault;
import myrtleladder.testbed.fault.LinkFault;
import myrtleladder.testbed.simulation.ProtocolCore;
import myrtleladder.testbed.simulation.SimulatedNetwork;

/**
 * Processes with a membership and an agreement each, in virtual time, that propose all the while;
 * what must hold at every moment is looked at with every decree, what must hold in the end when it
 * is asked.
 */
final class SimulatedConsensusCluster {
    static final long SECOND = 1_000_000;
    private static final LinkFault LAN = new LinkFault(false, 200, 300, 0, 0);
    private static final long WORK = 1_500_000;

    final SimulatedNetwork world;
    final Map<String, Node> nodes = new LinkedHashMap<>();
    final List<String> broken = new ArrayList<>();
    final FaultPointInjector<FaultPoint> faults = new FaultPointInjector<>();
    final ConsensusSettings settings;
    final List<ConsensusEvent> foundings = new ArrayList<>();
    long datagrams;
    long bytes;
    private final TreeMap<FencingToken, Long> digests = new TreeMap<>();
    private final Map<List<Long>, View> views = new LinkedHashMap<>();
    private final SplittableRandom lives;
    private View newest = View.NONE;

    /**
     * What is left of a message on its way: a mutant of the protocol, for those who look if it is
     * seen.
     */
    UnaryOperator<MessageFrame> says = UnaryOperator.identity();

    SimulatedConsensusCluster(long seed, ConsensusSettings settings) {
        this.world = new SimulatedNetwork(seed, LAN);
        this.settings = settings;
        this.lives = new SplittableRandom(seed);
    }

    SimulatedConsensusCluster with(int count) {
        for (String name : names(count)) {
            world.add(
                    name,
                    (p, seed, actions) -> {
                        Node node = new Node(p, seed, actions);
                        nodes.put(p, node);
                        return node;
                    });
        }
        return this;
    }

    void run(long micros) {
        world.run(world.now() + micros);
    }

    void calm() {
        world.bring(new Fault.HealAll());
        nodes.keySet().stream().filter(world::alive).forEach(p -> world.bring(new Fault.Resume(p)));
    }

    List<String> living() {
        return nodes.keySet().stream().filter(world::alive).toList();
    }

    void cut(List<String> some, List<String> others, boolean both) {
        some.forEach(
                a ->
                        others.forEach(
                                b -> {
                                    world.bring(new Fault.Link(a, b, LinkFault.CUT));
                                    if (both) {
                                        world.bring(new Fault.Link(b, a, LinkFault.CUT));
                                    }
                                }));
    }

    /**
     * What keeps the living from holding one view, of themselves, and one history; null if they do.
     */
    String disagreement() {
        TreeMap<String, Long> there = new TreeMap<>();
        living().forEach(p -> there.put(p, nodes.get(p).me.startId()));
        long digest = living().isEmpty() ? 0 : nodes.get(living().get(0)).machine.digest;
        for (String p : living()) {
            Node n = nodes.get(p);
            if (!n.agreement.view().startIds().equals(there)) {
                return p + " holds " + n.agreement.view() + ", there are " + there;
            }
            if (n.machine.digest != digest || n.agreement.pendingCommands() > 0) {
                return p
                        + " has "
                        + n.agreement.pendingCommands()
                        + " commands open, at decree "
                        + n.agreement.lastApplied();
            }
        }
        return null;
    }

    /** One life with all that it holds. */
    final class Node implements ProtocolCore, ConsensusEnvironment, Membership.Output {
        final ProcessId me;
        final ConsensusNode agreement;
        final Chain machine = new Chain();
        private final Actions actions;
        private final Membership membership;
        private final FaultPointInjector<FaultPoint>.FaultyProcess faulty;
        private boolean changed = true;
        boolean working = true;
        private int worked;

        Node(String process, long seed, Actions actions) {
            this.actions = actions;
            this.faulty = faults.new FaultyProcess(world, process, actions);
            this.me = new ProcessId(process, lives.nextLong(1, Long.MAX_VALUE));
            this.membership =
                    new Membership(
                            myrtleladder.gossip.GossipSettings.of("dhaka"),
                            process,
                            me.startId(),
                            0,
                            process,
                            MemberMetadata.NONE,
                            names(3),
                            seed,
                            this);
            this.agreement = new ConsensusNode(settings, me, seed, machine, this);
        }

        @Override
        public void started(long now) {
            faulty.step(
                    () -> {
                        membership.start(now);
                        agreement.start(now);
                        actions.timer("work", WORK);
                        look(now);
                    });
        }

        @Override
        public void received(long now, String from, byte[] message) {
            faulty.step(
                    () -> {
                        if (ConsensusNode.isConsensusDatagram(message)) {
                            agreement.onDatagram(now, message);
                        } else {
                            membership.onDatagram(now, from, message);
                        }
                        look(now);
                    });
        }

        @Override
        public void due(long now, String token) {
            faulty.step(
                    () -> {
                        if (faulty.onTimer(token)) {
                            return;
                        }
                        if (token.equals("work")) {
                            if (working) {
                                agreement.propose(
                                        now,
                                        (me + "#" + worked++).getBytes(StandardCharsets.UTF_8));
                            }
                            actions.timer("work", WORK);
                        } else if (token.startsWith("agree:")) {
                            agreement.onTimer(now, token.substring(6));
                        } else {
                            membership.onTimer(now, token);
                        }
                        look(now);
                    });
        }

        private void look(long now) {
            if (changed) {
                changed = false;
                Map<String, Long> there = new TreeMap<>();
                membership.members().stream()
                        .filter(c -> c.state().isPresent())
                        .forEach(c -> there.put(c.name(), c.startId()));
                agreement.onMembershipObserved(now, there);
            }
        }

        @Override
        public void send(String to, byte[] whole) {
            if (!ConsensusNode.isConsensusDatagram(whole)) {
                actions.send(to, whole);
                return;
            }
            byte[] datagram = mutated(whole);
            datagrams++;
            bytes += datagram.length;
            faulty.send(to, datagram);
        }

        private byte[] mutated(byte[] datagram) {
            try {
                return MessageEncoder.encode(
                        settings.fleet(),
                        says.apply(MessageDecoder.decode(datagram, settings.fleet())));
            } catch (MessageDecoder.DecodingException e) {
                throw new AssertionError(e);
            }
        }

        @Override
        public void scheduleTimer(String timer, long delayUs) {
            actions.timer(timer.equals("beat") ? "agree:" + timer : timer, delayUs);
        }

        @Override
        public long wallClockUs() {
            return 1_700_000_000L * SECOND + actions.wall();
        }

        @Override
        public void onEvent(MemberEvent event) {
            changed = true;
        }

        @Override
        public void onEvent(ConsensusEvent event) {
            actions.note(event.toString());
            if (event.kind() == ConsensusEvent.Kind.FOUNDED
                    && event.view().epoch() > newest.epoch()) {
                foundings.add(event);
                long left =
                        settings.council().stream()
                                .filter(c -> world.alive(c) && newest.has(nodes.get(c).me))
                                .count();
                if (left >= settings.quorumSize() && !living().containsAll(settings.council())) {
                    broken.add(
                            me
                                    + " founded "
                                    + event.view()
                                    + " though "
                                    + left
                                    + " of "
                                    + newest
                                    + " live");
                }
            }
            if (event.kind() == ConsensusEvent.Kind.FOUNDED
                    || event.kind() == ConsensusEvent.Kind.VIEW) {
                View its = event.view();
                View before = views.putIfAbsent(List.of(its.epoch(), its.number()), its);
                if (before != null && !before.equals(event.view())) {
                    broken.add("two views of one number: " + before + " and " + event.view());
                }
                boolean newer =
                        its.epoch() > newest.epoch()
                                || (its.epoch() == newest.epoch()
                                        && its.number() > newest.number());
                newest = newer ? its : newest;
            }
        }

        @Override
        public void onFaultPoint(FaultPoint point) {
            faulty.onFaultPoint(point);
        }

        /** A digest of all that was decided, in its order. */
        final class Chain implements StateMachine {
            long digest;
            private TreeSet<String> seen = new TreeSet<>();

            private void mix(String what) {
                for (byte b : what.getBytes(StandardCharsets.UTF_8)) {
                    digest = digest * 1_000_003 + b;
                }
            }

            @Override
            public void apply(FencingToken token, ProcessId by, byte[] command) {
                String text = new String(command, StandardCharsets.UTF_8);
                if (!seen.add(text)) {
                    broken.add(me + " took in " + text + " twice");
                }
                mix(token + by.toString() + text);
                Long before = digests.get(token);
                if (before == null) {
                    if (!digests.isEmpty() && token.compareTo(digests.lastKey()) < 0) {
                        broken.add(me + " decided " + token + " after " + digests.lastKey());
                    }
                    digests.put(token, digest);
                } else if (before != digest) {
                    broken.add(me + " has another history up to " + token);
                }
            }

            @Override
            public void view(View view) {
                mix(view.toString());
            }

            @Override
            public byte[] snapshot() {
                ByteArrayOutputStream out = new ByteArrayOutputStream();
                try (DataOutputStream data = new DataOutputStream(out)) {
                    data.writeLong(digest);
                    data.writeUTF(String.join(",", seen));
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
                return out.toByteArray();
            }

            @Override
            public void restore(byte[] snapshot) {
                ByteBuffer data = ByteBuffer.wrap(snapshot);
                digest = data.getLong();
                byte[] text = new byte[data.getShort() & 0xFFFF];
                data.get(text);
                seen = new TreeSet<>(List.of(new String(text, StandardCharsets.UTF_8).split(",")));
                seen.remove("");
            }
        }
    }
}
