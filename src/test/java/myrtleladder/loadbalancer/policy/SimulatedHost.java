package myrtleladder.loadbalancer.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import myrtleladder.loadbalancer.policy.Upstream.State;

/** Runs one load balancer in tests: simulates its clock and its timers, and records its actions. */
class SimulatedHost implements LoadBalancer.Actions {
    static final long SECOND_US = 1_000_000;
    static final long MILLISECOND_US = 1_000;

    private static final long DEFAULT_SEED = 7;

    /** The simulated time, microseconds. */
    long nowUs = 100 * SECOND_US;

    /** All actions except timers, one line each: time, name and arguments. */
    final List<String> actions = new ArrayList<>();

    /** The upstreams of the attempts of each request, in order of sending. */
    final Map<String, List<String>> upstreamsByRequest = new HashMap<>();

    final Map<String, Integer> sendsPerUpstream = new HashMap<>();
    final List<String> rejected = new ArrayList<>();
    final List<Long> retryAfterTimesUs = new ArrayList<>();
    final List<String> failed = new ArrayList<>();

    /** Cancelled attempts, as request, slash and index of the attempt. */
    final List<String> cancelled = new ArrayList<>();

    final List<String> probes = new ArrayList<>();
    final List<byte[]> peerMessages = new ArrayList<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(
                    (a, b) ->
                            a.atUs != b.atUs
                                    ? Long.compare(a.atUs, b.atUs)
                                    : Long.compare(a.sequence, b.sequence));
    private long timerCount;
    private int requestCount;
    LoadBalancer balancer;

    /** Checks sends and final answers; null if the test does not use it. */
    RuleChecker checker;

    private record Timer(long atUs, long sequence, String token) {}

    static SimulatedHost of(SettingsBuilder settings) {
        return of(settings, DEFAULT_SEED);
    }

    static SimulatedHost of(SettingsBuilder settings, long seed) {
        SimulatedHost host = new SimulatedHost();
        host.balancer = new UtilisationLoadBalancer(settings.build(), seed, host);
        host.balancer.start(host.nowUs);
        return host;
    }

    /** Entry of the endpoint list for upstream "u" + index, in one of three zones and two cells. */
    static Upstream endpoint(int index, State state, long launchedAtUs) {
        return new Upstream("u" + index, index % 3, 0, index % 2, state, 1, launchedAtUs);
    }

    /** Passes a complete list of ready upstreams to the balancer. */
    SimulatedHost listUpstreams(int count) {
        List<Upstream> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(endpoint(i, State.READY, 0));
        }
        balancer.onEndpointList(nowUs, EndpointListKind.RESTORED, all);
        return this;
    }

    void changeEndpoint(Upstream endpoint) {
        balancer.onEndpointList(nowUs, EndpointListKind.CHANGES, List.of(endpoint));
    }

    /** Sends a request without a key; for classes see {@link SettingsBuilder#build}. */
    String request(int classIndex, long timeLeftUs) {
        return request(classIndex, timeLeftUs, null, 20 * MILLISECOND_US);
    }

    String request(int classIndex, long timeLeftUs, String key, long work) {
        String id = "r" + requestCount++;
        Request newRequest = new Request(id, classIndex, 0, key, work, timeLeftUs, false, false);
        if (checker != null) {
            checker.requestArrived(nowUs, newRequest);
        }
        balancer.onRequest(nowUs, newRequest);
        return id;
    }

    /** The upstream of the last attempt of a request; null if none was sent. */
    String lastUpstream(String id) {
        List<String> upstreams = upstreamsByRequest.getOrDefault(id, List.of());
        return upstreams.isEmpty() ? null : upstreams.get(upstreams.size() - 1);
    }

    /** Ends the last attempt of a request; {@link Outcome#OK} concludes the request. */
    void endAttempt(String id, Outcome outcome, long tookUs, LoadReport load) {
        int attemptIndex = upstreamsByRequest.get(id).size() - 1;
        balancer.onAttemptEnd(
                nowUs,
                new AttemptEnd(
                        id,
                        attemptIndex,
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
    String serve(
            int classIndex, long tookUs, java.util.function.ToDoubleFunction<String> utilisation) {
        String id = request(classIndex, 2 * SECOND_US);
        String upstreamId = lastUpstream(id);
        if (upstreamId == null) {
            return null;
        }
        advance(tookUs);
        endAttempt(id, Outcome.OK, tookUs, report(utilisation.applyAsDouble(upstreamId)));
        return upstreamId;
    }

    static LoadReport report(double utilisation) {
        return new LoadReport(
                utilisation, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
    }

    /** Number of attempts that were sent to an upstream. */
    int sendsTo(String upstreamId) {
        return sendsPerUpstream.getOrDefault(upstreamId, 0);
    }

    /**
     * Answers 200 requests after 20 ms each, then sends more until one goes to u0. Returns that
     * one, which is left unanswered.
     */
    String requestToFirstUpstream(int classIndex) {
        for (int i = 0; i < 200; i++) {
            serve(classIndex, 20 * MILLISECOND_US, upstreamId -> 0.5);
        }
        for (int i = 0; i < 100; i++) {
            String id = request(classIndex, 2 * SECOND_US);
            if (lastUpstream(id).equals("u0")) {
                return id;
            }
            advance(20 * MILLISECOND_US);
            endAttempt(id, Outcome.OK, 20 * MILLISECOND_US, report(0.5));
        }
        throw new AssertionError("no request was sent to u0");
    }

    /** Advances the clock, and calls each timer when it expires. */
    void advance(long durationUs) {
        long untilUs = nowUs + durationUs;
        while (!timers.isEmpty() && timers.peek().atUs <= untilUs) {
            Timer timer = timers.poll();
            nowUs = Math.max(nowUs, timer.atUs);
            balancer.onTimer(nowUs, timer.token);
        }
        nowUs = untilUs;
    }

    @Override
    public void send(String requestId, String upstreamId, long timeoutUs) {
        actions.add(nowUs + " send " + requestId + " " + upstreamId);
        upstreamsByRequest.computeIfAbsent(requestId, k -> new ArrayList<>()).add(upstreamId);
        sendsPerUpstream.merge(upstreamId, 1, Integer::sum);
        if (checker != null) {
            checker.attemptSent(nowUs, requestId, upstreamId);
        }
    }

    @Override
    public void reject(String requestId, long retryAfterUs) {
        actions.add(nowUs + " reject " + requestId);
        rejected.add(requestId);
        retryAfterTimesUs.add(retryAfterUs);
        if (checker != null) {
            checker.requestRejected(nowUs, requestId);
        }
    }

    @Override
    public void fail(String requestId) {
        actions.add(nowUs + " fail " + requestId);
        failed.add(requestId);
        if (checker != null) {
            checker.requestFailed(nowUs, requestId);
        }
    }

    @Override
    public void cancelAttempt(String requestId, int attemptIndex) {
        actions.add(nowUs + " cancel " + requestId + " " + attemptIndex);
        cancelled.add(requestId + "/" + attemptIndex);
    }

    @Override
    public void setTimer(String token, long delayUs) {
        timers.add(new Timer(nowUs + Math.max(delayUs, 1), timerCount++, token));
    }

    @Override
    public void probe(String upstreamId) {
        actions.add(nowUs + " probe " + upstreamId);
        probes.add(upstreamId);
    }

    @Override
    public void closeIdleConnections(String upstreamId) {
        actions.add(nowUs + " close " + upstreamId);
    }

    @Override
    public void setSubscribed(boolean isSubscribed) {
        actions.add(nowUs + " subscribe " + isSubscribed);
    }

    @Override
    public void fetchEndpointList() {
        actions.add(nowUs + " fetch");
    }

    @Override
    public void sendToPeer(int peer, byte[] body) {
        actions.add(nowUs + " send-to-peer " + peer);
        peerMessages.add(body);
    }

    @Override
    public void log(String text) {
        actions.add(nowUs + " log " + text);
    }
}
