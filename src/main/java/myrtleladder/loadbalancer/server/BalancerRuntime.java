package myrtleladder.loadbalancer.server;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import myrtleladder.loadbalancer.policy.EndpointListKind;
import myrtleladder.loadbalancer.policy.LoadBalancer;
import myrtleladder.loadbalancer.policy.Request;
import myrtleladder.loadbalancer.policy.Settings;
import myrtleladder.loadbalancer.policy.UtilisationLoadBalancer;
import myrtleladder.loadbalancer.settings.SettingsReader;

/**
 * Connects the decision module to sockets and timers: delivers events to it one at a time and
 * executes its actions.
 *
 * <p>Confined to the event loop. The module calls the actions only while it handles an event.
 */
final class BalancerRuntime implements LoadBalancer.Actions, TrafficControl {
    private static final System.Logger LOG = System.getLogger(BalancerRuntime.class.getName());

    /** How long to wait for a list from discovery before serving from the configured list. */
    private static final long INITIAL_LIST_DELAY_MS = 1_000;

    private final EventLoop loop;
    private final SettingsReader.ParsedSettings settings;
    private final UpstreamConnectionPool connections;
    private final LoadBalancer balancer;
    private final RequestDispatcher requests;
    private final ProbeSender probes;
    private final MonotonicClock clock = new MonotonicClock();
    private final EventLoopLag lag;
    private final EventSerializer events = new EventSerializer();
    private final EndpointDirectory endpoints = new EndpointDirectory();
    private final RequestCounters counters = new RequestCounters();

    private DiscoveryClient discovery;
    private boolean isReady;

    BalancerRuntime(EventLoop loop, BalancerConfig config, UpstreamConnectionPool connections) {
        this.loop = loop;
        // A timer scheduled now runs in the next iteration of the loop, after its reads.
        this.lag =
                new EventLoopLag(
                        clock::nowUs, task -> loop.schedule(task, 0, TimeUnit.MICROSECONDS));
        this.settings = config.settings();
        this.connections = connections;
        Settings moduleSettings = settings.balancer();
        this.balancer = new UtilisationLoadBalancer(moduleSettings, config.seed(), this);
        LoadReportParser loadReports = new LoadReportParser(moduleSettings.loadReportSource());
        this.requests =
                new RequestDispatcher(
                        loop,
                        clock,
                        events,
                        balancer,
                        connections,
                        loadReports,
                        counters,
                        moduleSettings);
        this.probes =
                new ProbeSender(
                        loop,
                        connections,
                        config.listen().getHostString(),
                        loadReports,
                        clock,
                        events,
                        balancer);
    }

    /** Starts the module with the configured endpoint list and starts to watch discovery. */
    void start(DiscoveryClient source, EndpointList known) {
        discovery = source;
        events.run(() -> balancer.start(clock.nowUs()));
        endpointsListed(EndpointListKind.RESTORED, known);
        if (!settings.balancer().listSubscription()) {
            discovery.watch(true);
        }
        if (!known.endpoints().isEmpty()) {
            loop.schedule(
                    () -> {
                        isReady = true;
                    },
                    INITIAL_LIST_DELAY_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** Applies the only setting that can change at run time: the address of discovery. */
    void reload(BalancerConfig config) {
        discovery.setAddress(config.discovery());
    }

    /** Returns a snapshot of counters and gauges. */
    BalancerStatus status() {
        return new BalancerStatus(
                isReady,
                connections.upstreams(),
                requests.openRequests(),
                connections.connections(),
                connections.connects(),
                counters.requests,
                counters.answers(),
                counters.attempts());
    }

    /** Whether there is an endpoint list to serve from. */
    boolean isReady() {
        return isReady;
    }

    /** The clock for all timestamps of the module and this balancer. */
    MonotonicClock clock() {
        return clock;
    }

    /** The measured lag of the event loop. */
    EventLoopLag lag() {
        return lag;
    }

    /** Applies an endpoint list or changes from discovery, or the configured list at the start. */
    void endpointsListed(EndpointListKind kind, EndpointList list) {
        EndpointList effective = endpoints.update(list);
        isReady |= kind == EndpointListKind.COMPLETE || kind == EndpointListKind.CHANGES;
        apply(kind, effective);
    }

    /** Notifies the module that a call to discovery has failed. */
    void listUnavailable() {
        events.run(
                () ->
                        balancer.onEndpointList(
                                clock.nowUs(), EndpointListKind.UNAVAILABLE, List.of()));
    }

    private void apply(EndpointListKind kind, EndpointList list) {
        connections.apply(list);
        events.run(
                () ->
                        balancer.onEndpointList(
                                clock.nowUs(),
                                kind,
                                list.endpoints().stream().map(e -> e.toModule(settings)).toList()));
    }

    /** Whether a request with this id is open. */
    boolean isOpen(String id) {
        return requests.isOpen(id);
    }

    /**
     * Takes ownership of a request and of the reference to its message. The observer gets exactly
     * one response unless the client disconnects first.
     */
    void dispatch(Request request, FullHttpRequest message, ResponseObserver observer) {
        requests.dispatch(request, message, observer);
    }

    /** Handles the disconnect of a request's client. */
    void clientDisconnected(String id) {
        requests.clientDisconnected(id);
    }

    /** Fails all open requests at the end of the graceful shutdown period. */
    void failAll() {
        requests.failAll();
    }

    @Override
    public void setAdmission(AttemptAdmission admission) {
        requests.setAdmission(admission);
    }

    @Override
    public void setDraining(Set<String> draining, Set<String> restarted) {
        EndpointList changes = endpoints.setDraining(draining, restarted, clock);
        if (!changes.endpoints().isEmpty()) {
            apply(EndpointListKind.CHANGES, changes);
        }
    }

    @Override
    public int attemptsInFlight(String upstream) {
        return requests.attemptsInFlight(upstream);
    }

    @Override
    public List<ListedEndpoint> listedEndpoints() {
        return endpoints.listed();
    }

    @Override
    public void send(String request, String upstream, long timeout) {
        requests.send(request, upstream, timeout);
    }

    @Override
    public void reject(String request, long retryAfter) {
        requests.reject(request, retryAfter);
    }

    @Override
    public void fail(String request) {
        requests.fail(request);
    }

    @Override
    public void cancelAttempt(String request, int attempt) {
        requests.cancel(request, attempt);
    }

    @Override
    public void setTimer(String token, long delay) {
        lag.timerSet(clock.nowUs() + delay);
        loop.schedule(
                () -> {
                    lag.timerFired();
                    events.run(() -> balancer.onTimer(clock.nowUs(), token));
                },
                delay,
                TimeUnit.MICROSECONDS);
    }

    @Override
    public void probe(String upstream) {
        probes.probe(upstream);
    }

    @Override
    public void closeIdleConnections(String upstream) {
        connections.closeIdle(upstream);
    }

    @Override
    public void setSubscribed(boolean on) {
        discovery.watch(on);
    }

    @Override
    public void fetchEndpointList() {
        discovery.fetchFullList();
    }

    /**
     * Does nothing: balancers have no connection to each other, which the module knows from its
     * settings.
     */
    @Override
    public void sendToPeer(int peer, byte[] body) {}

    @Override
    public void log(String text) {
        LOG.log(System.Logger.Level.INFO, text);
    }
}
