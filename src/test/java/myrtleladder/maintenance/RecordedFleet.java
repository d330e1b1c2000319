package myrtleladder.maintenance;

import static myrtleladder.gossip.SimulatedGossipCluster.names;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import myrtleladder.consensus.ConsensusEnvironment;
import myrtleladder.consensus.ConsensusEvent;
import myrtleladder.consensus.ConsensusNode;
import myrtleladder.consensus.ConsensusSettings;
import myrtleladder.consensus.FaultPoint;
import myrtleladder.consensus.FencingToken;
import myrtleladder.consensus.ProcessId;
import myrtleladder.gossip.GossipSettings;
import myrtleladder.gossip.MemberEvent;
import myrtleladder.gossip.MemberMetadata;
import myrtleladder.gossip.Membership;
import myrtleladder.testbed.fault.LinkFault;
import myrtleladder.testbed.simulation.ProtocolCore;
import myrtleladder.testbed.simulation.SimulatedNetwork;

/**
 * Processes with a membership, an agreement and work on machines each, in virtual time, whose
 * actions are recorded by layer: each datagram with time, sender, receiver and bytes, each timer,
 * each event. No line holds the name of a class or of a field, so that renaming changes no digest.
 */
final class RecordedFleet {
    static final long SECOND = 1_000_000;
    private static final LinkFault LAN = new LinkFault(false, 200, 300, 0.01, 0.01, 0);
    private static final int MACHINES = 6;

    final SimulatedNetwork world;
    final Map<String, Node> nodes = new LinkedHashMap<>();
    final Map<String, Integer> lines = new TreeMap<>();
    final Map<String, String> firsts = new TreeMap<>();
    private final Map<String, MessageDigest> digests = new TreeMap<>();
    private final SplittableRandom lives;
    private final int members;

    RecordedFleet(long seed, int members) {
        this.world = new SimulatedNetwork(seed, LAN);
        this.lives = new SplittableRandom(seed);
        this.members = members;
        for (String name : names(members)) {
            world.add(
                    name,
                    (p, itsSeed, actions) -> {
                        Node node = new Node(p, itsSeed, actions);
                        nodes.put(p, node);
                        return node;
                    });
        }
    }

    void run(long micros) {
        world.run(world.now() + micros);
    }

    /** The SHA-256 of all lines of a layer so far, after their number. */
    String digest(String layer) {
        try {
            MessageDigest copy = (MessageDigest) digests.get(layer).clone();
            return lines.get(layer) + " lines, " + HexFormat.of().formatHex(copy.digest());
        } catch (CloneNotSupportedException e) {
            throw new AssertionError(e);
        }
    }

    private void record(String layer, String process, String what) {
        String line = world.now() + " " + process + " " + what + "\n";
        digests.computeIfAbsent(layer, l -> sha256()).update(line.getBytes(StandardCharsets.UTF_8));
        lines.merge(layer, 1, Integer::sum);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError(e);
        }
    }

    /** Hands in a plan of all machines by way of a process. */
    void plan(String process, int atOnce) {
        PlanTerms terms =
                new PlanTerms(
                        "patch",
                        MACHINES,
                        atOnce,
                        atOnce,
                        PlanTerms.Apart.NOTHING,
                        50,
                        MACHINES,
                        0,
                        0);
        Node node = nodes.get(process);
        node.agreement.propose(node.now, MaintenanceCommand.plan(terms).write());
        for (int i = 0; i < MACHINES; i++) {
            MachineSpec part = new MachineSpec("h" + i, "u" + i, null, i % 2, 0, i / 4, 3);
            node.agreement.propose(node.now, MaintenanceCommand.part("patch", part).write());
        }
    }

    /** Tells a process of operators' or workers' wishes. */
    void propose(String process, OperatorCommand step) {
        Node node = nodes.get(process);
        node.work.propose(node.now, step);
    }

    /** One life of a process. */
    final class Node
            implements ProtocolCore,
                    ConsensusEnvironment,
                    Membership.Output,
                    MaintenanceEnvironment {
        final ConsensusNode agreement;
        final MaintenanceStateMachine agenda = new MaintenanceStateMachine();
        final MaintenanceCoordinator work;
        long now;
        private final String process;
        private final Actions actions;
        private final Membership membership;
        private boolean changed = true;

        Node(String process, long seed, Actions actions) {
            this.process = process;
            this.actions = actions;
            ProcessId me = new ProcessId(process, lives.nextLong(1, Long.MAX_VALUE));
            this.membership =
                    new Membership(
                            GossipSettings.of("dhaka"),
                            process,
                            me.startId(),
                            0,
                            process,
                            MemberMetadata.NONE,
                            names(3),
                            seed,
                            this);
            ConsensusSettings usual = ConsensusSettings.of("dhaka", names(Math.min(5, members)));
            ConsensusSettings council =
                    new ConsensusSettings(
                            "dhaka",
                            usual.council(),
                            usual.heartbeatIntervalUs(),
                            usual.electionTimeoutUs(),
                            usual.viewStabilityUs(),
                            usual.bootstrapDelayUs(),
                            16,
                            usual.maxDatagramBytes());
            this.agreement = new ConsensusNode(council, me, seed, agenda, this);
            MaintenanceSettings settings = MaintenanceSettings.of("dhaka", 300_000, 5 * SECOND);
            this.work = new MaintenanceCoordinator(settings, me, agreement, agenda, this);
        }

        private void step(long at, Runnable what) {
            now = at;
            what.run();
            if (changed) {
                changed = false;
                Map<String, Long> there = new TreeMap<>();
                membership.members().stream()
                        .filter(c -> c.state().isPresent())
                        .forEach(c -> there.put(c.name(), c.startId()));
                agreement.onMembershipObserved(now, there);
                Set<ProcessId> present = new HashSet<>();
                there.forEach((name, startId) -> present.add(new ProcessId(name, startId)));
                work.onMembershipObserved(present);
            }
            work.onConsensusChanged(now);
        }

        /** What all jobs wait for, as operators see it. */
        void waits() {
            for (MaintenanceJob job : agenda.jobs()) {
                String waits = work.waitReason(job);
                record("work", process, job.machine() + " " + job.state().name() + " " + waits);
            }
        }

        @Override
        public void started(long at) {
            step(
                    at,
                    () -> {
                        membership.start(at);
                        agreement.start(at);
                        work.start(at);
                        actions.timer("look", SECOND);
                    });
        }

        @Override
        public void received(long at, String from, byte[] message) {
            step(
                    at,
                    () -> {
                        if (ConsensusNode.isConsensusDatagram(message)) {
                            agreement.onDatagram(at, message);
                        } else if (MaintenanceCoordinator.isMaintenanceDatagram(message)) {
                            work.onDatagram(at, message);
                        } else {
                            membership.onDatagram(at, from, message);
                        }
                    });
        }

        @Override
        public void due(long at, String token) {
            step(
                    at,
                    () -> {
                        switch (token) {
                            case "look" -> {
                                waits();
                                actions.timer("look", SECOND);
                            }
                            case "beat" -> agreement.onTimer(at, token);
                            case "work" -> work.onTimer(at, token);
                            default -> membership.onTimer(at, token);
                        }
                    });
        }

        @Override
        public void send(String to, byte[] datagram) {
            String text = new String(datagram, StandardCharsets.UTF_8);
            String layer =
                    ConsensusNode.isConsensusDatagram(datagram)
                            ? "agreement"
                            : MaintenanceCoordinator.isMaintenanceDatagram(datagram)
                                    ? "work"
                                    : "membership";
            record(layer, process, "sends to " + to + " " + text);
            if (layer.equals("work")) {
                firsts.putIfAbsent(text.substring(0, text.indexOf(',')), text);
            }
            actions.send(to, datagram);
        }

        @Override
        public void scheduleTimer(String timer, long delayUs) {
            String layer =
                    timer.equals("beat")
                            ? "agreement"
                            : timer.equals("work") ? "work" : "membership";
            record(layer, process, "timer " + timer + " " + delayUs);
            actions.timer(timer, delayUs);
        }

        @Override
        public long wallClockUs() {
            return 1_700_000_000L * SECOND + actions.wall();
        }

        @Override
        public long wallClockMs() {
            return wallClockUs() / 1_000;
        }

        @Override
        public void onEvent(MemberEvent event) {
            changed = true;
            String what = event.kind().name() + " " + event.update().name() + " " + event.reason();
            record("membership", process, what);
        }

        @Override
        public void onEvent(ConsensusEvent event) {
            String view =
                    event.view().epoch() + "." + event.view().number() + event.view().startIds();
            record("agreement", process, event.kind().name() + " " + view + " " + event.reason());
        }

        @Override
        public void onFaultPoint(FaultPoint point) {
            record("agreement", process, "point " + point.ordinal());
        }

        @Override
        public void onFaultPoint(MaintenanceFaultPoint point) {
            record("work", process, "point " + point.ordinal());
        }

        @Override
        public int inFlightAttempts(String upstream) {
            return 0;
        }

        @Override
        public void setExcludedUpstreams(Set<String> aside) {
            record("work", process, "keeps away from " + new TreeSet<>(aside));
        }

        @Override
        public List<String> failingUpstreams() {
            return List.of();
        }

        @Override
        public String degradation(String upstream) {
            return null;
        }

        @Override
        public boolean canJudge(String upstream) {
            return true;
        }

        @Override
        public void onJobStateChanged(MaintenanceJob job) {
            FencingToken permit = job.permit();
            String its = permit == null ? "none" : permit.epoch() + "." + permit.index();
            String what =
                    job.machine() + " is " + job.state().name() + " " + its + " " + job.reason();
            record("work", process, what);
        }
    }
}
