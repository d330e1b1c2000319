package myrtleladder.maintenance;

import static myrtleladder.gossip.SimulatedGossipCluster.names;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Supplier;
import myrtleladder.cluster.FaultPointInjector;
import myrtleladder.consensus.ConsensusEnvironment;
import myrtleladder.consensus.ConsensusEvent;
import myrtleladder.consensus.ConsensusNode;
import myrtleladder.consensus.ConsensusSettings;
import myrtleladder.consensus.FencingToken;
import myrtleladder.consensus.ProcessId;
import myrtleladder.gossip.MemberEvent;
import myrtleladder.gossip.MemberMetadata;
import myrtleladder.gossip.Membership;
import myrtleladder.testbed.fault.LinkFault;
import myrtleladder.testbed.simulation.ProtocolCore;
import myrtleladder.testbed.simulation.SimulatedNetwork;

/**
 * Processes that send to upstreams all the while and agree on work on these, in virtual time; and
 * those who do the work, who know of a permit from the first process that does. What must hold is
 * looked at with every attempt and every permit.
 */
final class SimulatedMaintenanceCluster {
    static final long SECOND = 1_000_000;
    static final long LONGEST = 5 * SECOND;
    static final long ATTEMPT = 300_000;
    private static final long REQUESTS = 40_000;
    private static final LinkFault LAN = new LinkFault(false, 200, 300, 0, 0);

    final SimulatedNetwork world;
    final Map<String, Node> nodes = new LinkedHashMap<>();
    final List<String> broken = new ArrayList<>();
    final FaultPointInjector<MaintenanceFaultPoint> faults = new FaultPointInjector<>();
    final List<String> upstreams = new ArrayList<>();
    final ConsensusSettings council;

    /** Machines that are out, by the permit of the work that goes on there. */
    final Map<String, FencingToken> out = new TreeMap<>();

    Supplier<MaintenanceStateMachine> agendas = MaintenanceStateMachine::new;

    /** Whether leave counts from when it comes: a mutant. */
    boolean leaveFromReceipt;

    long attempts;
    long starved;
    int permits;
    PlanTerms terms;

    /** Machines that fail by themselves, as all see. */
    final Set<String> failing = new TreeSet<>();

    private final MaintenanceSettings settings =
            new MaintenanceSettings(
                    "dhaka", 200_000, 1_500_000, ATTEMPT, 1_000, 3 * SECOND, LONGEST);
    private final SplittableRandom random;
    private final Set<FencingToken> told = new HashSet<>();
    private final Map<String, Long> outUntil = new HashMap<>();
    private FencingToken greatest = new FencingToken(0, 0);

    SimulatedMaintenanceCluster(long seed, int members, int machines) {
        this.world = new SimulatedNetwork(seed, LAN);
        this.random = new SplittableRandom(seed);
        this.council =
                ConsensusSettings.of("dhaka", names(members).subList(0, Math.min(5, members)));
        for (int i = 0; i < machines; i++) {
            upstreams.add("u" + i);
        }
    }

    SimulatedMaintenanceCluster start(int members) {
        for (String name : names(members)) {
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

    List<String> living() {
        return nodes.keySet().stream().filter(world::alive).toList();
    }

    /**
     * Hands all machines to some process, in two zones; those of one zone have cells in common by
     * twos.
     */
    void hand(String process, PlanTerms its) {
        terms = its;
        Node node = nodes.get(process);
        node.agreement.propose(node.now, MaintenanceCommand.plan(its).write());
        for (int i = 0; i < its.machines(); i++) {
            node.agreement.propose(
                    node.now,
                    MaintenanceCommand.part(
                                    its.plan(),
                                    new MachineSpec(
                                            upstreams.get(i),
                                            upstreams.get(i),
                                            null,
                                            i % 2,
                                            0,
                                            i / 4,
                                            3))
                            .write());
        }
    }

    PlanTerms terms(String name, int machines, int atOnce) {
        return new PlanTerms(
                name,
                machines,
                atOnce,
                atOnce,
                PlanTerms.Apart.NOTHING,
                50,
                upstreams.size(),
                0,
                0);
    }

    /** What keeps the living from holding one agenda on which all is over; null if they do. */
    String unfinished() {
        Set<String> held = new HashSet<>();
        for (String p : living()) {
            MaintenanceStateMachine agenda = nodes.get(p).agenda;
            for (MaintenanceJob job : agenda.jobs()) {
                if (!job.state().over()) {
                    return p
                            + ": "
                            + job.machine()
                            + " is "
                            + job.state()
                            + ", waits "
                            + nodes.get(p).work.waitReason(job);
                }
            }
            held.add(new String(agenda.snapshot(), java.nio.charset.StandardCharsets.UTF_8));
        }
        return held.size() > 1 ? "different agendas: " + held : null;
    }

    /** One life with all that it holds. */
    final class Node
            implements ProtocolCore,
                    ConsensusEnvironment,
                    Membership.Output,
                    MaintenanceEnvironment {
        final ProcessId me;
        final ConsensusNode agreement;
        final MaintenanceStateMachine agenda;
        final MaintenanceCoordinator work;
        private final String process;
        private final Actions actions;
        private final Membership membership;

        /** Attempts that this process has out, by upstream. */
        private final Map<String, Integer> inFlight = new TreeMap<>();

        private final FaultPointInjector<MaintenanceFaultPoint>.FaultyProcess faulty;
        private boolean changed = true;
        private boolean agrees;
        long now;

        Node(String process, long seed, Actions actions) {
            this.process = process;
            this.actions = actions;
            this.faulty = faults.new FaultyProcess(world, process, actions);
            // The end of its last life has reset what that had out.
            outUntil.keySet().removeIf(k -> k.startsWith(process + " "));
            this.me = new ProcessId(process, random.nextLong(1, Long.MAX_VALUE));
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
            this.agenda = agendas.get();
            this.agreement = new ConsensusNode(council, me, seed, agenda, this);
            this.work = new MaintenanceCoordinator(settings, me, agreement, agenda, this);
        }

        private void step(long at, Runnable what) {
            now = at;
            faulty.step(
                    () -> {
                        what.run();
                        if (changed) {
                            changed = false;
                            Map<String, Long> there = new TreeMap<>();
                            membership.members().stream()
                                    .filter(c -> c.state().isPresent())
                                    .forEach(c -> there.put(c.name(), c.startId()));
                            agreement.onMembershipObserved(now, there);
                            Set<ProcessId> lives = new HashSet<>();
                            there.forEach((n, l) -> lives.add(new ProcessId(n, l)));
                            work.onMembershipObserved(lives);
                        }
                        if (agrees) {
                            agrees = false;
                            work.onConsensusChanged(now);
                        }
                    });
        }

        @Override
        public void started(long at) {
            step(
                    at,
                    () -> {
                        membership.start(at);
                        agreement.start(at);
                        work.start(at);
                        actions.timer("request", REQUESTS);
                    });
        }

        @Override
        public void received(long at, String from, byte[] message) {
            step(
                    at,
                    () -> {
                        if (ConsensusNode.isConsensusDatagram(message)) {
                            agrees = true;
                            agreement.onDatagram(at, message);
                        } else if (MaintenanceCoordinator.isMaintenanceDatagram(message)) {
                            work.onDatagram(
                                    at, leaveFromReceipt ? fromReceipt(at, message) : message);
                        } else {
                            membership.onDatagram(at, from, message);
                        }
                    });
        }

        private byte[] fromReceipt(long at, byte[] message) {
            try {
                Map<String, Object> m = JsonMaps.read(message);
                if ("given".equals(m.get("leave"))) {
                    m.put("at", at);
                }
                return JsonMaps.write(m);
            } catch (java.io.IOException e) {
                throw new AssertionError(e);
            }
        }

        @Override
        public void due(long at, String token) {
            step(
                    at,
                    () -> {
                        if (token.equals("request")) {
                            request();
                            actions.timer("request", REQUESTS);
                        } else if (token.startsWith("ended ")) {
                            inFlight.merge(token.substring(6), -1, Integer::sum);
                        } else if (faulty.onTimer(token)) {
                            return;
                        } else if (token.equals("beat")) {
                            agrees = true;
                            agreement.onTimer(at, token);
                        } else if (token.equals("work")) {
                            work.onTimer(at, token);
                        } else {
                            membership.onTimer(at, token);
                        }
                    });
        }

        /**
         * Sends to any upstream that it may; the attempt is over by its time, whatever becomes of
         * us.
         */
        private void request() {
            if (!work.isRegistered()) {
                return;
            }
            List<String> may = upstreams.stream().filter(u -> work.maySend(now, u)).toList();
            if (may.isEmpty()) {
                starved++;
                return;
            }
            String to = may.get(random.nextInt(may.size()));
            attempts++;
            if (out.containsKey(to)) {
                broken.add(
                        me
                                + " sends to "
                                + to
                                + " at "
                                + world.now()
                                + ", which is out; leave "
                                + work.hasLease(now)
                                + ", knows "
                                + agenda.activeJobOfUpstream(to));
            }
            long takes = random.nextLong(5_000, ATTEMPT);
            inFlight.merge(to, 1, Integer::sum);
            outUntil.merge(process + " " + to, world.now() + takes, Math::max);
            actions.timer("ended " + to, takes);
        }

        @Override
        public void send(String to, byte[] datagram) {
            faulty.send(to, datagram);
        }

        @Override
        public void scheduleTimer(String timer, long delayUs) {
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
        }

        @Override
        public void onEvent(ConsensusEvent event) {
            actions.note(event.toString());
        }

        @Override
        public int inFlightAttempts(String upstream) {
            return inFlight.getOrDefault(upstream, 0);
        }

        @Override
        public void setExcludedUpstreams(Set<String> aside) {
            actions.note("keeps away from " + aside);
        }

        @Override
        public List<String> failingUpstreams() {
            return List.copyOf(failing);
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
            actions.note(
                    job.machine() + " " + job.state() + " " + job.permit() + " " + job.reason());
            if (job.state() == JobState.OUT && told.add(job.permit())) {
                permitted(job);
            }
        }

        /** The worker begins at the first moment at which he could have been told. */
        private void permitted(MaintenanceJob job) {
            String machine = job.machine();
            permits++;
            if (out.containsKey(machine)) {
                broken.add(
                        machine
                                + " has a second permit "
                                + job.permit()
                                + " beside "
                                + out.get(machine));
            }
            if (job.permit().compareTo(greatest) <= 0) {
                broken.add("token " + job.permit() + " after " + greatest);
            }
            greatest = job.permit();
            out.put(machine, job.permit());
            if (out.size() + failing.stream().filter(f -> !out.containsKey(f)).count()
                    > terms.atOnce()) {
                broken.add("out at once: " + out + ", failing " + failing);
            }
            outUntil.forEach(
                    (who, until) -> {
                        if (who.endsWith(" " + machine) && until > world.now()) {
                            broken.add(who + " is in flight at the permit " + job.permit());
                        }
                    });
            long takes = random.nextLong(200_000, 3 * SECOND);
            later(
                    takes,
                    () -> {
                        out.remove(machine);
                        done(machine, job.permit());
                    });
        }

        @Override
        public void onFaultPoint(MaintenanceFaultPoint point) {
            faulty.onFaultPoint(point);
        }
    }

    private final Map<String, Runnable> laters = new TreeMap<>();
    private int numbers;

    /** Something that happens outside of all processes, and whatever becomes of them. */
    private void later(long delay, Runnable what) {
        String name = "worker" + numbers++;
        laters.put(name, what);
        world.add(
                name,
                (p, seed, actions) ->
                        new ProtocolCore() {
                            @Override
                            public void started(long now) {
                                actions.timer("now", delay);
                            }

                            @Override
                            public void received(long now, String from, byte[] message) {}

                            @Override
                            public void due(long now, String token) {
                                laters.remove(p).run();
                            }
                        });
    }

    /**
     * The worker says so to any process that runs, again and again: what it told may be lost with
     * that.
     */
    private void done(String machine, FencingToken permit) {
        List<String> there = living();
        if (!there.isEmpty()) {
            Node node = nodes.get(there.get(random.nextInt(there.size())));
            MaintenanceJob job = node.agenda.job(machine);
            if (job != null
                    && permit.equals(job.permit())
                    && (job.state() == JobState.OUT || job.state() == JobState.OVERDUE)) {
                node.agreement.propose(
                        node.now,
                        MaintenanceCommand.of(MaintenanceCommand.Kind.DONE, machine, permit)
                                .write());
            }
        }
        if (world.now() < 300 * SECOND) {
            later(SECOND, () -> done(machine, permit));
        }
    }
}
