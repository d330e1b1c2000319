package myrtleladder.loadbalancer.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import myrtleladder.loadbalancer.policy.Upstream.State;

/**
 * Simulates a group of balancers and their upstreams. A variant of the settings and a seed determine
 * everything. Upstreams slow down, fail, hang, reject requests, drain, restart and stop; clients
 * disconnect, peers exchange messages, and calls to service discovery fail. The names of variants and
 * of logged actions occur in recorded files.
 */
final class DecisionScenario {
    /** The variants of settings. */
    static final List<String> VARIANTS =
            List.of(
                    "alone", "reports", "probing", "peers", "tenants", "streams", "many", "hedges",
                    "asking");

    /** Number of upstreams of variants in which it is not 16. */
    private static final Map<String, Integer> SIZES =
            Map.of("peers", 30, "alone", 6, "many", 30, "hedges", 6, "asking", 8);

    /** Variants with one balancer instead of three. */
    private static final Set<String> ALONE = Set.of("alone", "tenants", "hedges");

    /** Configured group size of variants in which it differs from the number of balancers. */
    private static final Map<String, Integer> STATED = Map.of("many", 16, "asking", 64);

    private static final long MILLI = 1_000;
    private static final long SECOND = 1_000_000;

    /** All actions, one line each: time, position of the balancer, name and arguments. */
    final StringBuilder log = new StringBuilder();

    /** Number of calls of each action. */
    final Map<String, Integer> counts = new TreeMap<>();

    private final String variant;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at != b.at
                                    ? Long.compare(a.at, b.at)
                                    : Long.compare(a.number, b.number));
    private final List<Machine> machines = new ArrayList<>();
    private final List<Instance> group = new ArrayList<>();
    private long now = 1_000 * SECOND;
    private long eventCount;
    private int handled;
    private int requests;

    private record Event(long at, long number, Runnable what) {}

    /** One simulated upstream. */
    private static final class Machine {
        final String id;
        final int index;
        State state = State.READY;
        long launchedAt;
        int running;

        /**
         * How it misbehaves: 0 not at all, 1 is slow, 2 fails connections, 3 hangs, 4 rejects, 5
         * returns errors.
         */
        int mode;

        Machine(int index) {
            this.index = index;
            this.id = "u" + index;
        }
    }

    /** One balancer of the group, and the state of the actions that it called. */
    private final class Instance implements LoadBalancer.Actions {
        final int position;
        final Map<String, Integer> attempts = new HashMap<>();
        final Set<String> outstanding = new HashSet<>();
        final Map<String, String> where = new HashMap<>();
        final Map<String, Long> sentAt = new HashMap<>();
        final Map<String, Request> open = new HashMap<>();
        LoadBalancer balancer;

        Instance(int position) {
            this.position = position;
        }

        private void line(String action, String rest) {
            log.append(now)
                    .append(' ')
                    .append(position)
                    .append(' ')
                    .append(action)
                    .append(rest)
                    .append('\n');
            counts.merge(action, 1, Integer::sum);
        }

        @Override
        public void send(String request, String upstream, long timeout) {
            line("send", " " + request + " " + upstream + " " + timeout);
            int attempt = attempts.merge(request, 1, Integer::sum) - 1;
            String id = request + "/" + attempt;
            outstanding.add(id);
            where.put(id, upstream);
            sentAt.put(id, now);
            begin(request, attempt, upstream, timeout);
        }

        private void begin(String request, int attempt, String upstream, long timeout) {
            Machine machine = machines.get(Integer.parseInt(upstream.substring(1)));
            machine.running++;
            double chance = random.nextDouble();
            long work =
                    Math.max(
                            MILLI,
                            open.get(request).expectedWork() == 0
                                    ? 15 * MILLI
                                    : open.get(request).expectedWork());
            long took =
                    (long)
                            (work
                                    * (0.7 + 0.6 * random.nextDouble())
                                    * (1 + machine.running / 4.0)
                                    * (machine.mode == 1 ? 8 : 1));
            Outcome outcome = Outcome.OK;
            if (machine.state == State.GONE || machine.mode == 2) {
                outcome = chance < 0.8 ? Outcome.CONNECT_FAILED : Outcome.RESET;
                took = 2 * MILLI;
            } else if (machine.mode == 3) {
                took = 40 * SECOND;
            } else if ((machine.mode == 4 && chance < 0.7)
                    || machine.running > 24
                    || (machine.state == State.DRAINING && chance < 0.6)) {
                outcome = Outcome.FULL;
                took = MILLI;
            } else if ((machine.mode == 5 && chance < 0.8) || chance < 0.01) {
                outcome = chance < 0.005 ? Outcome.RESET : Outcome.ERROR;
            } else if (chance > 0.998) {
                outcome = Outcome.MOOT;
                took = 1;
            }
            if (timeout > 0 && took > timeout) {
                outcome = Outcome.TIMEOUT;
                took = timeout;
            }
            Outcome ending = outcome;
            boolean stream = open.get(request).classIndex() == 0 && variant.equals("streams");
            if (stream && ending == Outcome.OK) {
                after(
                        took / 3,
                        () -> {
                            if (outstanding.contains(request + "/" + attempt)) {
                                count();
                                balancer.opened(now, request, attempt);
                            }
                        });
            }
            after(took, () -> end(request, attempt, ending));
        }

        private void end(String request, int attempt, Outcome outcome) {
            String id = request + "/" + attempt;
            if (!outstanding.remove(id)) {
                return;
            }
            Machine machine = machines.get(Integer.parseInt(where.get(id).substring(1)));
            machine.running--;
            count();
            balancer.outcome(
                    now,
                    new AttemptEnd(
                            request,
                            attempt,
                            machine.id,
                            outcome,
                            Math.max(1, now - sentAt.get(id)),
                            outcome == Outcome.OK,
                            outcome == Outcome.OK
                                            && !variant.equals("probing")
                                            && !variant.equals("asking")
                                    ? report(machine)
                                    : null));
        }

        @Override
        public void refuse(String request, long retryAfter) {
            line("refuse", " " + request + " " + retryAfter);
        }

        @Override
        public void fail(String request) {
            line("fail", " " + request);
        }

        @Override
        public void cancel(String request, int attempt) {
            line("cancel", " " + request + " " + attempt);
            after(MILLI / 2, () -> end(request, attempt, Outcome.CANCELLED));
        }

        @Override
        public void timer(String token, long delay) {
            line("timer", " " + token + " " + delay);
            after(
                    delay,
                    () -> {
                        count();
                        balancer.timer(now, token);
                    });
        }

        @Override
        public void probe(String upstream) {
            line("probe", " " + upstream);
            Machine machine = machines.get(Integer.parseInt(upstream.substring(1)));
            boolean up = machine.state != State.GONE && machine.mode != 2 && machine.mode != 3;
            after(
                    up ? 3 * MILLI : 200 * MILLI,
                    () -> {
                        count();
                        balancer.probed(
                                now,
                                upstream,
                                up ? Outcome.OK : Outcome.TIMEOUT,
                                up ? report(machine) : null);
                    });
        }

        @Override
        public void closeIdle(String upstream) {
            line("close-idle", " " + upstream);
        }

        @Override
        public void watch(boolean on) {
            line("watch", " " + on);
        }

        @Override
        public void fetch() {
            line("fetch", "");
            boolean answered = random.nextInt(3) > 0;
            after(
                    20 * MILLI,
                    () -> {
                        count();
                        balancer.upstreams(
                                now,
                                answered ? ListKind.COMPLETE : ListKind.UNAVAILABLE,
                                answered ? list() : List.of());
                    });
        }

        @Override
        public void tell(int peer, byte[] body) {
            line("tell", " " + peer + " " + HexFormat.of().formatHex(body));
            for (Instance to : group) {
                if (to != this && (peer < 0 || peer == to.position)) {
                    after(
                            2 * MILLI + random.nextLong(2 * MILLI),
                            () -> {
                                count();
                                to.balancer.peerMessage(now, position, body);
                            });
                }
            }
        }

        @Override
        public void log(String text) {
            line("log", " " + text);
        }
    }

    private DecisionScenario(String variant, long seed) {
        this.variant = variant;
        this.random = new SplittableRandom(seed);
    }

    /** The variants of settings, for tests that run each. */
    static List<String> variants() {
        return VARIANTS;
    }

    /**
     * Runs a variant with a seed until the balancers have been passed {@code minEvents} events or a few
     * more.
     */
    static DecisionScenario play(String variant, long seed, int length) {
        DecisionScenario scenario = new DecisionScenario(variant, seed);
        scenario.run(seed, length);
        return scenario;
    }

    private void run(long seed, int length) {
        int size = SIZES.getOrDefault(variant, 16);
        for (int i = 0; i < size; i++) {
            machines.add(new Machine(i));
        }
        int balancers = ALONE.contains(variant) ? 1 : 3;
        for (int i = 0; i < balancers; i++) {
            Instance instance = new Instance(i);
            group.add(instance);
            instance.balancer =
                    new UtilisationLoadBalancer(
                            settings(i, STATED.getOrDefault(variant, balancers)),
                            seed * 31 + i,
                            instance);
        }
        for (Instance instance : group) {
            instance.balancer.start(now);
            instance.balancer.upstreams(now, ListKind.RESTORED, list());
        }
        after(1, this::arrive);
        after(200 * MILLI, this::disturb);
        while (handled < length) {
            Event event = events.poll();
            now = Math.max(now, event.at);
            event.what.run();
        }
    }

    private List<RequestClass> classes() {
        boolean streams = variant.equals("streams");
        boolean tenants = variant.equals("tenants");
        boolean peers = variant.equals("peers") || variant.equals("many");
        return List.of(
                new RequestClass(
                        SECOND / 2, 0, 2 * SECOND, 1, 0.5, Effect.SAFE, Scope.ALL, SECOND, streams),
                new RequestClass(
                        SECOND / 4,
                        tenants ? 2 : 0,
                        SECOND,
                        2,
                        0,
                        Effect.KEYED,
                        peers ? Scope.CELL : Scope.ZONE,
                        2 * SECOND,
                        false),
                new RequestClass(
                        SECOND, 0, 3 * SECOND, 3, 0.2, Effect.UNSAFE, Scope.ZONE, 0, false),
                new RequestClass(
                        SECOND / 3, 0, SECOND, 0.5, 0.1, Effect.KEYED, Scope.ALL, SECOND, false));
    }

    private Settings settings(int position, int balancers) {
        boolean streams = variant.equals("streams");
        boolean tenants = variant.equals("tenants");
        boolean probing = variant.equals("probing") || variant.equals("asking");
        boolean peers = variant.equals("peers") || variant.equals("many");
        boolean alone = variant.equals("alone");
        List<RequestClass> classes = classes();
        List<Tenant> shares =
                tenants
                        ? List.of(new Tenant(60, 0.5), new Tenant(25, 0.3), new Tenant(0, 0.2))
                        : List.of();
        return new Settings(
                position % 3,
                3,
                position,
                balancers,
                classes,
                shares,
                0.2,
                tenants,
                new Limits(
                        streams ? 2 : 4,
                        !alone,
                        probing || peers,
                        !tenants,
                        peers,
                        tenants ? 60 : 20_000,
                        tenants || alone,
                        3 * SECOND,
                        SECOND / 4,
                        10 * SECOND,
                        streams ? 8 : 1),
                new RuleFigures(20 * MILLI, SECOND, 0.2, 20 * SECOND, SECOND, 3, 2 * SECOND),
                new Prices(
                        streams ? 0.05 : 0,
                        0.1,
                        variant.equals("asking") ? 0.004 : probing ? 0.0001 : 0.01,
                        peers ? 0.0001 : 0.01,
                        0.05,
                        alone ? 0.01 : 0),
                probing ? Reports.BY_PROBE : alone ? Reports.NONE : Reports.IN_ANSWERS,
                streams
                        ? Ratings.NOMINAL
                        : tenants ? Ratings.LIVE : peers ? Ratings.ROUGH : Ratings.NONE,
                probing || tenants,
                peers || streams,
                5 * MILLI);
    }

    private void after(long delay, Runnable what) {
        events.add(new Event(now + Math.max(delay, 1), eventCount++, what));
    }

    private void count() {
        handled++;
    }

    private Upstream entry(Machine m) {
        return new Upstream(
                m.id,
                m.index % 3,
                m.index % 2,
                m.index % 4,
                m.state,
                1 + m.index % 3,
                m.launchedAt);
    }

    private List<Upstream> list() {
        return machines.stream().filter(m -> m.state != State.GONE).map(this::entry).toList();
    }

    private LoadReport report(Machine m) {
        int kind = random.nextInt(40);
        if (kind == 0) {
            return null;
        }
        double utilisation =
                kind == 1
                        ? Double.NaN
                        : kind == 2
                                ? 1e9
                                : Math.min(1.1, m.running / 20.0 + 0.1 * random.nextDouble());
        return new LoadReport(
                utilisation,
                m.running,
                Math.max(0, m.running - 8),
                15 * MILLI * (1 + m.running / 8.0),
                50,
                m.mode == 5 ? 20 : 0);
    }

    /** Sends a request; the rate alternates between low and more than the upstreams can serve. */
    private void arrive() {
        Instance at = group.get(random.nextInt(group.size()));
        String id = "r" + requests++;
        int cls = random.nextInt(4);
        String key = random.nextInt(3) == 0 ? "k" + random.nextInt(12) : null;
        long work = random.nextInt(4) == 0 ? 0 : 5 * MILLI + random.nextLong(40 * MILLI);
        long left = random.nextInt(10) == 0 ? 60 * MILLI : 2 * SECOND;
        Request newRequest =
                new Request(
                        id,
                        cls,
                        variant.equals("tenants") ? random.nextInt(3) : 0,
                        key,
                        work,
                        left,
                        random.nextInt(5) == 0,
                        random.nextInt(20) == 0);
        at.open.put(id, newRequest);
        count();
        at.balancer.request(now, newRequest);
        if (random.nextInt(25) == 0) {
            after(
                    1 + random.nextLong(300 * MILLI),
                    () -> {
                        count();
                        at.balancer.clientGone(now, id);
                    });
        }
        boolean crowd = now / (4 * SECOND) % 4 == 3;
        long gap = (crowd ? 6 : 40) * MILLI * 6 / machines.size();
        after(random.nextLong(Math.max(2, gap)), this::arrive);
    }

    /**
     * Changes the state of a random upstream. Balancers are notified of changes in the endpoint list
     * after a random delay.
     */
    private void disturb() {
        Machine m = machines.get(random.nextInt(machines.size()));
        int what = random.nextInt(14);
        if (what < 6) {
            m.mode = what;
        } else if (what < 9) {
            m.mode = 0;
        } else if (what == 9) {
            m.state = State.DRAINING;
        } else if (what == 10) {
            m.state = State.GONE;
        } else {
            m.state = State.READY;
            m.launchedAt = what == 11 ? now : m.launchedAt;
        }
        if (what >= 9) {
            Upstream told = entry(m);
            for (Instance instance : group) {
                after(
                        random.nextLong(300 * MILLI),
                        () -> {
                            count();
                            instance.balancer.upstreams(now, ListKind.CHANGES, List.of(told));
                        });
            }
        }
        if (random.nextInt(12) == 0) {
            Instance instance = group.get(random.nextInt(group.size()));
            boolean whole = random.nextBoolean();
            count();
            instance.balancer.upstreams(
                    now,
                    whole ? ListKind.COMPLETE : ListKind.UNAVAILABLE,
                    whole ? list() : List.of());
        }
        long pause = variant.equals("hedges") ? 6 * SECOND : 0;
        after(pause + 50 * MILLI + random.nextLong(500 * MILLI), this::disturb);
    }
}
