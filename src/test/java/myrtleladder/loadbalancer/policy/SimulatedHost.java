package myrtleladder.loadbalancer.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import myrtleladder.loadbalancer.policy.Upstream.State;

/**
 * Runs one load balancer in tests: simulates its clock and its timers, and records its actions.
 */
class SimulatedHost implements LoadBalancer.Actions {
    static final long SECOND = 1_000_000;
    static final long MILLI = 1_000;

    private static final long DEFAULT_SEED = 7;

    /** The simulated time, microseconds. */
    long nowUs = 100 * SECOND;

    /** All actions except timers, one line each: time, name and arguments. */
    final List<String> actions = new ArrayList<>();

    final Map<String, List<String>> sends = new HashMap<>();
    final Map<String, Integer> sendsPerUpstream = new HashMap<>();
    final List<String> rejected = new ArrayList<>();
    final List<Long> retryAfterUs = new ArrayList<>();
    final List<String> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<String> probes = new ArrayList<>();
    final List<byte[]> peerMessages = new ArrayList<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(
                    (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.n, b.n));
    private long timerCount;
    private int requestCount;
    LoadBalancer balancer;
    RuleChecker checker;

    private record Timer(long at, long n, String token) {}

    static SimulatedHost of(SettingsBuilder settings) {
        return of(settings, DEFAULT_SEED);
    }

    static SimulatedHost of(SettingsBuilder settings, long seed) {
        SimulatedHost host = new SimulatedHost();
        host.balancer = new UtilisationLoadBalancer(settings.build(), seed, host);
        host.balancer.start(host.nowUs);
        return host;
    }

    static Upstream endpoint(int index, State state, long launchedAtUs) {
        return new Upstream("u" + index, index % 3, 0, index % 2, state, 1, launchedAtUs);
    }

    SimulatedHost listUpstreams(int count) {
        List<Upstream> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(endpoint(i, State.READY, 0));
        }
        balancer.upstreams(nowUs, ListKind.RESTORED, all);
        return this;
    }

    void changeEndpoint(Upstream endpoint) {
        balancer.upstreams(nowUs, ListKind.CHANGES, List.of(endpoint));
    }

    /** Sends a request without a key; for classes see {@link SettingsBuilder#build}. */
    String request(int cls, long timeLeft) {
        return request(cls, timeLeft, null, 20 * MILLI);
    }

    String request(int cls, long timeLeft, String key, long work) {
        String id = "r" + requestCount++;
        Request r = new Request(id, cls, 0, key, work, timeLeft, false, false);
        if (checker != null) {
            checker.arrived(nowUs, r);
        }
        balancer.request(nowUs, r);
        return id;
    }

    String lastUpstream(String id) {
        List<String> s = sends.getOrDefault(id, List.of());
        return s.isEmpty() ? null : s.get(s.size() - 1);
    }

    void endAttempt(String id, Outcome outcome, long tookUs, LoadReport load) {
        int attempt = sends.get(id).size() - 1;
        balancer.outcome(
                nowUs,
                new AttemptEnd(
                        id,
                        attempt,
                        lastUpstream(id),
                        outcome,
                        tookUs,
                        outcome == Outcome.OK,
                        load));
    }

    /**
     * Sends a request and answers it after {@code tookUs} with the upstream's utilisation. Returns
     * the upstream, or null if the request was queued.
     */
    String serve(int cls, long took, java.util.function.ToDoubleFunction<String> utilisation) {
        String id = request(cls, 2 * SECOND);
        String at = lastUpstream(id);
        if (at == null) {
            return null;
        }
        advance(took);
        endAttempt(id, Outcome.OK, took, report(utilisation.applyAsDouble(at)));
        return at;
    }

    static LoadReport report(double utilisation) {
        return new LoadReport(
                utilisation, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
    }

    /** Number of attempts that were sent to an upstream. */
    int sendsTo(String upstream) {
        return sendsPerUpstream.getOrDefault(upstream, 0);
    }

    /**
     * Answers 200 requests after 20 ms each, then sends more until one goes to u0. Returns that one,
     * which is left unanswered.
     */
    String requestToFirstUpstream(int cls) {
        for (int i = 0; i < 200; i++) {
            serve(cls, 20 * MILLI, upstream -> 0.5);
        }
        for (int i = 0; i < 100; i++) {
            String id = request(cls, 2 * SECOND);
            if (lastUpstream(id).equals("u0")) {
                return id;
            }
            advance(20 * MILLI);
            endAttempt(id, Outcome.OK, 20 * MILLI, report(0.5));
        }
        throw new AssertionError("no request was sent to u0");
    }

    /** Advances the clock, and calls each timer when it expires. */
    void advance(long by) {
        long until = nowUs + by;
        while (!timers.isEmpty() && timers.peek().at <= until) {
            Timer t = timers.poll();
            nowUs = Math.max(nowUs, t.at);
            balancer.timer(nowUs, t.token);
        }
        nowUs = until;
    }

    @Override
    public void send(String request, String upstream, long timeout) {
        actions.add(nowUs + " send " + request + " " + upstream);
        sends.computeIfAbsent(request, k -> new ArrayList<>()).add(upstream);
        sendsPerUpstream.merge(upstream, 1, Integer::sum);
        if (checker != null) {
            checker.sent(nowUs, request, upstream);
        }
    }

    @Override
    public void refuse(String request, long retryAfter) {
        actions.add(nowUs + " reject " + request);
        rejected.add(request);
        retryAfterUs.add(retryAfter);
        if (checker != null) {
            checker.refused(nowUs, request);
        }
    }

    @Override
    public void fail(String request) {
        actions.add(nowUs + " fail " + request);
        failed.add(request);
        if (checker != null) {
            checker.failed(nowUs, request);
        }
    }

    @Override
    public void cancel(String request, int attempt) {
        actions.add(nowUs + " cancel " + request + " " + attempt);
        cancelled.add(request + "/" + attempt);
    }

    @Override
    public void timer(String token, long delay) {
        timers.add(new Timer(nowUs + Math.max(delay, 1), timerCount++, token));
    }

    @Override
    public void probe(String upstream) {
        actions.add(nowUs + " probe " + upstream);
        probes.add(upstream);
    }

    @Override
    public void closeIdle(String upstream) {
        actions.add(nowUs + " close " + upstream);
    }

    @Override
    public void watch(boolean on) {
        actions.add(nowUs + " subscribe " + on);
    }

    @Override
    public void fetch() {
        actions.add(nowUs + " fetch");
    }

    @Override
    public void tell(int peer, byte[] body) {
        actions.add(nowUs + " send-to-peer " + peer);
        peerMessages.add(body);
    }

    @Override
    public void log(String text) {
        actions.add(nowUs + " log " + text);
    }
}
