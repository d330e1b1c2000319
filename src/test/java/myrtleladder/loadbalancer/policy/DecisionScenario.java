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
 * Simulates a group of balancers and their upstreams. A variant of the settings and a seed
 * determine everything. Upstreams slow down, fail, hang, reject requests, drain, restart and stop;
 * clients disconnect, peers exchange messages, and calls to service discovery fail. The names of
 * variants and of logged actions occur in recorded files.
 */
final class DecisionScenario {
    /** The variants of settings. */
    static final List<String> VARIANTS =
            List.of(
                    "alone", "reports", "probing", "peers", "tenants", "streams", "many", "hedges",
                    "asking");

    /** Number of upstreams of variants in which it is not 16. */
    private static final Map<String, Integer> UPSTREAM_COUNTS =
            Map.of("peers", 30, "alone", 6, "many", 30, "hedges", 6, "asking", 8);

    /** Variants with one balancer instead of three. */
    private static final Set<String> SINGLE_BALANCER_VARIANTS =
            Set.of("alone", "tenants", "hedges");

    /** Configured group size of variants in which it differs from the number of balancers. */
    private static final Map<String, Integer> CONFIGURED_GROUP_SIZES =
            Map.of("many", 16, "asking", 64);

    private static final long MILLISECOND_US = 1_000;
    private static final long SECOND_US = 1_000_000;

    /** All actions, one line each: time, position of the balancer, name and arguments. */
    final StringBuilder actionLog = new StringBuilder();

    /** Number of calls of each action. */
    final Map<String, Integer> actionCounts = new TreeMap<>();

    private final String variant;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    (a, b) ->
                            a.atUs != b.atUs
                                    ? Long.compare(a.atUs, b.atUs)
                                    : Long.compare(a.sequence, b.sequence));
    private final List<SimulatedUpstream> upstreams = new ArrayList<>();
    private final List<SimulatedBalancer> balancers = new ArrayList<>();
    private long nowUs = 1_000 * SECOND_US;
    private long eventCount;
    private int deliveredEvents;
    private int requestCount;

    private record Event(long atUs, long sequence, Runnable action) {}

    /** One simulated upstream. */
    private static final class SimulatedUpstream {
        final String id;
        final int index;
        State state = State.READY;
        long launchedAtUs;
        int inFlight;

        /**
         * How it misbehaves: 0 not at all, 1 is slow, 2 fails connections, 3 hangs, 4 rejects, 5
         * returns errors.
         */
        int faultMode;

        SimulatedUpstream(int index) {
            this.index = index;
            this.id = "u" + index;
        }
    }

    /** One balancer of the group, and the state of the actions that it called. */
    private final class SimulatedBalancer implements LoadBalancer.Actions {
        final int position;
        final Map<String, Integer> attemptCounts = new HashMap<>();
        final Set<String> outstanding = new HashSet<>();
        final Map<String, String> upstreamByAttempt = new HashMap<>();
        final Map<String, Long> sentAtUs = new HashMap<>();
        final Map<String, Request> requestsById = new HashMap<>();
        LoadBalancer loadBalancer;

        SimulatedBalancer(int position) {
            this.position = position;
        }

        private void logAction(String action, String rest) {
            actionLog
                    .append(nowUs)
                    .append(' ')
                    .append(position)
                    .append(' ')
                    .append(action)
                    .append(rest)
                    .append('\n');
            actionCounts.merge(action, 1, Integer::sum);
        }

        @Override
        public void send(String requestId, String upstreamId, long timeoutUs) {
            logAction("send", " " + requestId + " " + upstreamId + " " + timeoutUs);
            int attemptIndex = attemptCounts.merge(requestId, 1, Integer::sum) - 1;
            String id = requestId + "/" + attemptIndex;
            outstanding.add(id);
            upstreamByAttempt.put(id, upstreamId);
            sentAtUs.put(id, nowUs);
            startAttempt(requestId, attemptIndex, upstreamId, timeoutUs);
        }

        private void startAttempt(
                String requestId, int attemptIndex, String upstreamId, long timeoutUs) {
            SimulatedUpstream upstream = upstreams.get(Integer.parseInt(upstreamId.substring(1)));
            upstream.inFlight++;
            double chance = random.nextDouble();
            long work =
                    Math.max(
                            MILLISECOND_US,
                            requestsById.get(requestId).expectedWork() == 0
                                    ? 15 * MILLISECOND_US
                                    : requestsById.get(requestId).expectedWork());
            long tookUs =
                    (long)
                            (work
                                    * (0.7 + 0.6 * random.nextDouble())
                                    * (1 + upstream.inFlight / 4.0)
                                    * (upstream.faultMode == 1 ? 8 : 1));
            Outcome outcome = Outcome.OK;
            if (upstream.state == State.GONE || upstream.faultMode == 2) {
                outcome = chance < 0.8 ? Outcome.CONNECT_FAILED : Outcome.RESET;
                tookUs = 2 * MILLISECOND_US;
            } else if (upstream.faultMode == 3) {
                tookUs = 40 * SECOND_US;
            } else if ((upstream.faultMode == 4 && chance < 0.7)
                    || upstream.inFlight > 24
                    || (upstream.state == State.DRAINING && chance < 0.6)) {
                outcome = Outcome.FULL;
                tookUs = MILLISECOND_US;
            } else if ((upstream.faultMode == 5 && chance < 0.8) || chance < 0.01) {
                outcome = chance < 0.005 ? Outcome.RESET : Outcome.ERROR;
            } else if (chance > 0.998) {
                outcome = Outcome.MOOT;
                tookUs = 1;
            }
            if (timeoutUs > 0 && tookUs > timeoutUs) {
                outcome = Outcome.TIMEOUT;
                tookUs = timeoutUs;
            }
            Outcome finalOutcome = outcome;
            boolean isStream =
                    requestsById.get(requestId).classIndex() == 0 && variant.equals("streams");
            if (isStream && finalOutcome == Outcome.OK) {
                schedule(
                        tookUs / 3,
                        () -> {
                            if (outstanding.contains(requestId + "/" + attemptIndex)) {
                                countEvent();
                                loadBalancer.onStreamOpened(nowUs, requestId, attemptIndex);
                            }
                        });
            }
            schedule(tookUs, () -> endAttempt(requestId, attemptIndex, finalOutcome));
        }

        private void endAttempt(String requestId, int attemptIndex, Outcome outcome) {
            String id = requestId + "/" + attemptIndex;
            if (!outstanding.remove(id)) {
                return;
            }
            SimulatedUpstream upstream =
                    upstreams.get(Integer.parseInt(upstreamByAttempt.get(id).substring(1)));
            upstream.inFlight--;
            countEvent();
            loadBalancer.onAttemptEnd(
                    nowUs,
                    new AttemptEnd(
                            requestId,
                            attemptIndex,
                            upstream.id,
                            outcome,
                            Math.max(1, nowUs - sentAtUs.get(id)),
                            outcome == Outcome.OK,
                            outcome == Outcome.OK
                                            && !variant.equals("probing")
                                            && !variant.equals("asking")
                                    ? loadReportOf(upstream)
                                    : null));
        }

        @Override
        public void reject(String requestId, long retryAfterUs) {
            logAction("refuse", " " + requestId + " " + retryAfterUs);
        }

        @Override
        public void fail(String requestId) {
            logAction("fail", " " + requestId);
        }

        @Override
        public void cancelAttempt(String requestId, int attemptIndex) {
            logAction("cancel", " " + requestId + " " + attemptIndex);
            schedule(
                    MILLISECOND_US / 2,
                    () -> endAttempt(requestId, attemptIndex, Outcome.CANCELLED));
        }

        @Override
        public void setTimer(String token, long delayUs) {
            logAction("timer", " " + token + " " + delayUs);
            schedule(
                    delayUs,
                    () -> {
                        countEvent();
                        loadBalancer.onTimer(nowUs, token);
                    });
        }

        @Override
        public void probe(String upstreamId) {
            logAction("probe", " " + upstreamId);
            SimulatedUpstream upstream = upstreams.get(Integer.parseInt(upstreamId.substring(1)));
            boolean isUp =
                    upstream.state != State.GONE
                            && upstream.faultMode != 2
                            && upstream.faultMode != 3;
            schedule(
                    isUp ? 3 * MILLISECOND_US : 200 * MILLISECOND_US,
                    () -> {
                        countEvent();
                        loadBalancer.onProbeResult(
                                nowUs,
                                upstreamId,
                                isUp ? Outcome.OK : Outcome.TIMEOUT,
                                isUp ? loadReportOf(upstream) : null);
                    });
        }

        @Override
        public void closeIdleConnections(String upstreamId) {
            logAction("close-idle", " " + upstreamId);
        }

        @Override
        public void setSubscribed(boolean isSubscribed) {
            logAction("watch", " " + isSubscribed);
        }

        @Override
        public void fetchEndpointList() {
            logAction("fetch", "");
            boolean answered = random.nextInt(3) > 0;
            schedule(
                    20 * MILLISECOND_US,
                    () -> {
                        countEvent();
                        loadBalancer.onEndpointList(
                                nowUs,
                                answered ? EndpointListKind.COMPLETE : EndpointListKind.UNAVAILABLE,
                                answered ? endpointList() : List.of());
                    });
        }

        @Override
        public void sendToPeer(int peer, byte[] body) {
            logAction("tell", " " + peer + " " + HexFormat.of().formatHex(body));
            for (SimulatedBalancer recipient : balancers) {
                if (recipient != this && (peer < 0 || peer == recipient.position)) {
                    schedule(
                            2 * MILLISECOND_US + random.nextLong(2 * MILLISECOND_US),
                            () -> {
                                countEvent();
                                recipient.loadBalancer.onPeerMessage(nowUs, position, body);
                            });
                }
            }
        }

        @Override
        public void log(String text) {
            logAction("log", " " + text);
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
     * Runs a variant with a seed until the balancers have been passed {@code minEvents} events or a
     * few more.
     */
    static DecisionScenario simulate(String variant, long seed, int minEvents) {
        DecisionScenario scenario = new DecisionScenario(variant, seed);
        scenario.run(seed, minEvents);
        return scenario;
    }

    private void run(long seed, int minEvents) {
        int upstreamCount = UPSTREAM_COUNTS.getOrDefault(variant, 16);
        for (int i = 0; i < upstreamCount; i++) {
            upstreams.add(new SimulatedUpstream(i));
        }
        int groupSize = SINGLE_BALANCER_VARIANTS.contains(variant) ? 1 : 3;
        for (int i = 0; i < groupSize; i++) {
            SimulatedBalancer balancer = new SimulatedBalancer(i);
            balancers.add(balancer);
            balancer.loadBalancer =
                    new UtilisationLoadBalancer(
                            settings(i, CONFIGURED_GROUP_SIZES.getOrDefault(variant, groupSize)),
                            seed * 31 + i,
                            balancer);
        }
        for (SimulatedBalancer balancer : balancers) {
            balancer.loadBalancer.start(nowUs);
            balancer.loadBalancer.onEndpointList(nowUs, EndpointListKind.RESTORED, endpointList());
        }
        schedule(1, this::sendRequest);
        schedule(200 * MILLISECOND_US, this::changeRandomUpstream);
        while (deliveredEvents < minEvents) {
            Event event = events.poll();
            nowUs = Math.max(nowUs, event.atUs);
            event.action.run();
        }
    }

    private List<RequestClass> classes() {
        boolean streams = variant.equals("streams");
        boolean tenants = variant.equals("tenants");
        boolean peers = variant.equals("peers") || variant.equals("many");
        return List.of(
                new RequestClass(
                        SECOND_US / 2,
                        0,
                        2 * SECOND_US,
                        1,
                        0.5,
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        SECOND_US,
                        streams),
                new RequestClass(
                        SECOND_US / 4,
                        tenants ? 2 : 0,
                        SECOND_US,
                        2,
                        0,
                        Idempotency.IDEMPOTENT_BY_KEY,
                        peers ? DeduplicationScope.CELL : DeduplicationScope.ZONE,
                        2 * SECOND_US,
                        false),
                new RequestClass(
                        SECOND_US,
                        0,
                        3 * SECOND_US,
                        3,
                        0.2,
                        Idempotency.NON_IDEMPOTENT,
                        DeduplicationScope.ZONE,
                        0,
                        false),
                new RequestClass(
                        SECOND_US / 3,
                        0,
                        SECOND_US,
                        0.5,
                        0.1,
                        Idempotency.IDEMPOTENT_BY_KEY,
                        DeduplicationScope.ALL,
                        SECOND_US,
                        false));
    }

    private Settings settings(int position, int groupSize) {
        boolean streams = variant.equals("streams");
        boolean tenants = variant.equals("tenants");
        boolean probing = variant.equals("probing") || variant.equals("asking");
        boolean peers = variant.equals("peers") || variant.equals("many");
        boolean alone = variant.equals("alone");
        List<RequestClass> requestClasses = classes();
        List<Tenant> shares =
                tenants
                        ? List.of(new Tenant(60, 0.5), new Tenant(25, 0.3), new Tenant(0, 0.2))
                        : List.of();
        return new Settings(
                position % 3,
                3,
                position,
                groupSize,
                requestClasses,
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
                        3 * SECOND_US,
                        SECOND_US / 4,
                        10 * SECOND_US,
                        streams ? 8 : 1),
                new RuleParameters(
                        20 * MILLISECOND_US,
                        SECOND_US,
                        0.2,
                        20 * SECOND_US,
                        SECOND_US,
                        3,
                        2 * SECOND_US),
                new Prices(
                        streams ? 0.05 : 0,
                        0.1,
                        variant.equals("asking") ? 0.004 : probing ? 0.0001 : 0.01,
                        peers ? 0.0001 : 0.01,
                        0.05,
                        alone ? 0.01 : 0),
                probing
                        ? LoadReportSource.PROBES
                        : alone ? LoadReportSource.NONE : LoadReportSource.RESPONSES,
                streams
                        ? CapacityRatingKind.NOMINAL
                        : tenants
                                ? CapacityRatingKind.LIVE
                                : peers ? CapacityRatingKind.APPROXIMATE : CapacityRatingKind.NONE,
                probing || tenants,
                peers || streams,
                5 * MILLISECOND_US);
    }

    private void schedule(long delayUs, Runnable action) {
        events.add(new Event(nowUs + Math.max(delayUs, 1), eventCount++, action));
    }

    private void countEvent() {
        deliveredEvents++;
    }

    private Upstream endpointOf(SimulatedUpstream upstream) {
        return new Upstream(
                upstream.id,
                upstream.index % 3,
                upstream.index % 2,
                upstream.index % 4,
                upstream.state,
                1 + upstream.index % 3,
                upstream.launchedAtUs);
    }

    private List<Upstream> endpointList() {
        return upstreams.stream()
                .filter(upstream -> upstream.state != State.GONE)
                .map(this::endpointOf)
                .toList();
    }

    private LoadReport loadReportOf(SimulatedUpstream upstream) {
        int kind = random.nextInt(40);
        if (kind == 0) {
            return null;
        }
        double utilisation =
                kind == 1
                        ? Double.NaN
                        : kind == 2
                                ? 1e9
                                : Math.min(
                                        1.1, upstream.inFlight / 20.0 + 0.1 * random.nextDouble());
        return new LoadReport(
                utilisation,
                upstream.inFlight,
                Math.max(0, upstream.inFlight - 8),
                15 * MILLISECOND_US * (1 + upstream.inFlight / 8.0),
                50,
                upstream.faultMode == 5 ? 20 : 0);
    }

    /** Sends a request; the rate alternates between low and more than the upstreams can serve. */
    private void sendRequest() {
        SimulatedBalancer receiver = balancers.get(random.nextInt(balancers.size()));
        String id = "r" + requestCount++;
        int classIndex = random.nextInt(4);
        String key = random.nextInt(3) == 0 ? "k" + random.nextInt(12) : null;
        long work =
                random.nextInt(4) == 0
                        ? 0
                        : 5 * MILLISECOND_US + random.nextLong(40 * MILLISECOND_US);
        long timeLeftUs = random.nextInt(10) == 0 ? 60 * MILLISECOND_US : 2 * SECOND_US;
        Request newRequest =
                new Request(
                        id,
                        classIndex,
                        variant.equals("tenants") ? random.nextInt(3) : 0,
                        key,
                        work,
                        timeLeftUs,
                        random.nextInt(5) == 0,
                        random.nextInt(20) == 0);
        receiver.requestsById.put(id, newRequest);
        countEvent();
        receiver.loadBalancer.onRequest(nowUs, newRequest);
        if (random.nextInt(25) == 0) {
            schedule(
                    1 + random.nextLong(300 * MILLISECOND_US),
                    () -> {
                        countEvent();
                        receiver.loadBalancer.onClientDisconnected(nowUs, id);
                    });
        }
        boolean isOverload = nowUs / (4 * SECOND_US) % 4 == 3;
        long gapUs = (isOverload ? 6 : 40) * MILLISECOND_US * 6 / upstreams.size();
        schedule(random.nextLong(Math.max(2, gapUs)), this::sendRequest);
    }

    /**
     * Changes the state of a random upstream. Balancers are notified of changes in the endpoint
     * list after a random delay.
     */
    private void changeRandomUpstream() {
        SimulatedUpstream upstream = upstreams.get(random.nextInt(upstreams.size()));
        int action = random.nextInt(14);
        if (action < 6) {
            upstream.faultMode = action;
        } else if (action < 9) {
            upstream.faultMode = 0;
        } else if (action == 9) {
            upstream.state = State.DRAINING;
        } else if (action == 10) {
            upstream.state = State.GONE;
        } else {
            upstream.state = State.READY;
            upstream.launchedAtUs = action == 11 ? nowUs : upstream.launchedAtUs;
        }
        if (action >= 9) {
            Upstream changed = endpointOf(upstream);
            for (SimulatedBalancer balancer : balancers) {
                schedule(
                        random.nextLong(300 * MILLISECOND_US),
                        () -> {
                            countEvent();
                            balancer.loadBalancer.onEndpointList(
                                    nowUs, EndpointListKind.CHANGES, List.of(changed));
                        });
            }
        }
        if (random.nextInt(12) == 0) {
            SimulatedBalancer balancer = balancers.get(random.nextInt(balancers.size()));
            boolean isComplete = random.nextBoolean();
            countEvent();
            balancer.loadBalancer.onEndpointList(
                    nowUs,
                    isComplete ? EndpointListKind.COMPLETE : EndpointListKind.UNAVAILABLE,
                    isComplete ? endpointList() : List.of());
        }
        long pauseUs = variant.equals("hedges") ? 6 * SECOND_US : 0;
        schedule(
                pauseUs + 50 * MILLISECOND_US + random.nextLong(500 * MILLISECOND_US),
                this::changeRandomUpstream);
    }
}
