package myrtleladder.maintenance;

import static myrtleladder.gossip.VirtualFleet.names;

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
import myrtleladder.cluster.PointFaults;
import myrtleladder.consensus.AgreeSettings;
import myrtleladder.consensus.Agreement;
import myrtleladder.consensus.Life;
import myrtleladder.consensus.Note;
import myrtleladder.consensus.Token;
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
final class VirtualWork {
    static final long SECOND = 1_000_000;
    static final long LONGEST = 5 * SECOND;
    static final long ATTEMPT = 300_000;
    private static final long REQUESTS = 40_000;
    private static final LinkFault LAN = new LinkFault(false, 200, 300, 0, 0);

    final SimulatedNetwork world;
    final Map<String, Node> nodes = new LinkedHashMap<>();
    final List<String> broken = new ArrayList<>();
    final PointFaults<WorkPoint> faults = new PointFaults<>();
    final List<String> upstreams = new ArrayList<>();
    final AgreeSettings council;

    /** Machines that are out, by the permit of the work that goes on there. */
    final Map<String, Token> out = new TreeMap<>();

    Supplier<Agenda> agendas = Agenda::new;

    /** Whether leave counts from when it comes: a mutant. */
    boolean leaveFromReceipt;

    long attempts;
    long starved;
    int permits;
    Terms terms;

    /** Machines that fail by themselves, as all see. */
    final Set<String> failing = new TreeSet<>();

    private final WorkSettings settings =
            new WorkSettings("dhaka", 200_000, 1_500_000, ATTEMPT, 1_000, 3 * SECOND, LONGEST);
    private final SplittableRandom random;
    private final Set<Token> told = new HashSet<>();
    private final Map<String, Long> outUntil = new HashMap<>();
    private Token greatest = new Token(0, 0);

    VirtualWork(long seed, int members, int machines) {
        this.world = new SimulatedNetwork(seed, LAN);
        this.random = new SplittableRandom(seed);
        this.council = AgreeSettings.of("dhaka", names(members).subList(0, Math.min(5, members)));
        for (int i = 0; i < machines; i++) {
            upstreams.add("u" + i);
        }
    }

    VirtualWork start(int members) {
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
    void hand(String process, Terms its) {
        terms = its;
        Node node = nodes.get(process);
        node.agreement.propose(node.now, Command.plan(its).write());
        for (int i = 0; i < its.machines(); i++) {
            node.agreement.propose(
                    node.now,
                    Command.part(
                                    its.plan(),
                                    new Part(
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

    Terms terms(String name, int machines, int atOnce) {
        return new Terms(
                name, machines, atOnce, atOnce, Terms.Apart.NOTHING, 50, upstreams.size(), 0, 0);
    }

    /** What keeps the living from holding one agenda on which all is over; null if they do. */
    String unfinished() {
        Set<String> held = new HashSet<>();
        for (String p : living()) {
            Agenda agenda = nodes.get(p).agenda;
            for (Job job : agenda.jobs()) {
                if (!job.state().over()) {
                    return p
                            + ": "
                            + job.machine()
                            + " is "
                            + job.state()
                            + ", waits "
                            + nodes.get(p).work.waits(nodes.get(p).now, job);
                }
            }
            held.add(new String(agenda.snapshot(), java.nio.charset.StandardCharsets.UTF_8));
        }
        return held.size() > 1 ? "different agendas: " + held : null;
    }

    /** One life with all that it holds. */
    final class Node implements ProtocolCore, Agreement.Out, Membership.Output, Work.Out {
        final Life me;
        final Agreement agreement;
        final Agenda agenda;
        final Work work;
        private final String process;
        private final Actions actions;
        private final Membership membership;

        /** Attempts that this process has out, by upstream. */
        private final Map<String, Integer> inFlight = new TreeMap<>();

        private final PointFaults<WorkPoint>.Post post;
        private boolean changed = true;
        private boolean agrees;
        long now;

        Node(String process, long seed, Actions actions) {
            this.process = process;
            this.actions = actions;
            this.post = faults.new Post(world, process, actions);
            // The end of its last life has reset what that had out.
            outUntil.keySet().removeIf(k -> k.startsWith(process + " "));
            this.me = new Life(process, random.nextLong(1, Long.MAX_VALUE));
            this.membership =
                    new Membership(
                            myrtleladder.gossip.GossipSettings.of("dhaka"),
                            process,
                            me.life(),
                            0,
                            process,
                            MemberMetadata.NONE,
                            names(3),
                            seed,
                            this);
            this.agenda = agendas.get();
            this.agreement = new Agreement(council, me, seed, agenda, this);
            this.work = new Work(settings, me, agreement, agenda, this);
        }

        private void step(long at, Runnable what) {
            now = at;
            post.step(
                    () -> {
                        what.run();
                        if (changed) {
                            changed = false;
                            Map<String, Long> there = new TreeMap<>();
                            membership.members().stream()
                                    .filter(c -> c.state().isPresent())
                                    .forEach(c -> there.put(c.name(), c.startId()));
                            agreement.present(now, there);
                            Set<Life> lives = new HashSet<>();
                            there.forEach((n, l) -> lives.add(new Life(n, l)));
                            work.present(lives);
                        }
                        if (agrees) {
                            agrees = false;
                            work.look(now);
                        }
                    });
        }

        @Override
        public void started(long at) {
            step(
                    at,
                    () -> {
                        membership.start(at);
                        agreement.started(at);
                        work.started(at);
                        actions.timer("request", REQUESTS);
                    });
        }

        @Override
        public void received(long at, String from, byte[] message) {
            step(
                    at,
                    () -> {
                        if (Agreement.isOurs(message)) {
                            agrees = true;
                            agreement.received(at, message);
                        } else if (Work.isOurs(message)) {
                            work.received(
                                    at, leaveFromReceipt ? fromReceipt(at, message) : message);
                        } else {
                            membership.onDatagram(at, from, message);
                        }
                    });
        }

        private byte[] fromReceipt(long at, byte[] message) {
            try {
                Map<String, Object> m = Json.read(message);
                if ("given".equals(m.get("leave"))) {
                    m.put("at", at);
                }
                return Json.write(m);
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
                        } else if (post.due(token)) {
                            return;
                        } else if (token.equals("beat")) {
                            agrees = true;
                            agreement.due(at, token);
                        } else if (token.equals("work")) {
                            work.due(at, token);
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
            if (!work.registered()) {
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
                                + work.hasLeave(now)
                                + ", knows "
                                + agenda.ofUpstream(to));
            }
            long takes = random.nextLong(5_000, ATTEMPT);
            inFlight.merge(to, 1, Integer::sum);
            outUntil.merge(process + " " + to, world.now() + takes, Math::max);
            actions.timer("ended " + to, takes);
        }

        @Override
        public void send(String to, byte[] datagram) {
            post.send(to, datagram);
        }

        @Override
        public void scheduleTimer(String token, long delayUs) {
            timer(token, delayUs);
        }

        @Override
        public void timer(String token, long delay) {
            actions.timer(token, delay);
        }

        @Override
        public long wall() {
            return 1_700_000_000L * SECOND + actions.wall();
        }

        @Override
        public long wallMillis() {
            return wall() / 1_000;
        }

        @Override
        public void onEvent(MemberEvent event) {
            changed = true;
        }

        @Override
        public void note(Note note) {
            actions.note(note.toString());
        }

        @Override
        public int inFlight(String upstream) {
            return inFlight.getOrDefault(upstream, 0);
        }

        @Override
        public void aside(Set<String> aside) {
            actions.note("keeps away from " + aside);
        }

        @Override
        public List<String> failing() {
            return List.copyOf(failing);
        }

        @Override
        public String worse(String upstream) {
            return null;
        }

        @Override
        public boolean judged(String upstream) {
            return true;
        }

        @Override
        public void moved(Job job) {
            actions.note(job.machine() + " " + job.state() + " " + job.permit() + " " + job.why());
            if (job.state() == State.OUT && told.add(job.permit())) {
                permitted(job);
            }
        }

        /** The worker begins at the first moment at which he could have been told. */
        private void permitted(Job job) {
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
        public void point(WorkPoint point) {
            post.point(point);
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
    private void done(String machine, Token permit) {
        List<String> there = living();
        if (!there.isEmpty()) {
            Node node = nodes.get(there.get(random.nextInt(there.size())));
            Job job = node.agenda.job(machine);
            if (job != null
                    && permit.equals(job.permit())
                    && (job.state() == State.OUT || job.state() == State.OVERDUE)) {
                node.agreement.propose(
                        node.now, Command.of(Command.Kind.DONE, machine, permit).write());
            }
        }
        if (world.now() < 300 * SECOND) {
            later(SECOND, () -> done(machine, permit));
        }
    }
}
