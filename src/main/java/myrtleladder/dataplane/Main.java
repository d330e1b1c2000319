package myrtleladder.dataplane;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import myrtleladder.configuration.ClientLimits;
import myrtleladder.eventloop.EventLoop;
import myrtleladder.heartbeat.HeartbeatAgent;
import myrtleladder.http.Headers;
import myrtleladder.http.HttpServer;
import myrtleladder.http.RequestLimits;
import myrtleladder.http.ServerExchange;
import myrtleladder.http.ServerResources;
import myrtleladder.process.Address;
import myrtleladder.process.NodeSettings;
import myrtleladder.protocol.AcknowledgeResponse;
import myrtleladder.protocol.BalancerHeartbeat;
import myrtleladder.protocol.Message;
import myrtleladder.result.ResultException;
import myrtleladder.rpc.MessageServer;
import myrtleladder.rpc.PeerClient;
import myrtleladder.signal.Signals;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The main class of the data plane: creates and connects the components, and drains requests before
 * the process terminates. Confined to the event loop except for {@link #main} and {@link #serve}.
 */
public final class Main {
    private static final Logger LOG = LogManager.getLogger(Main.class);
    private static final byte[] NO_BYTES = {};

    /** How long after its announced timeout a client connection is closed. */
    private static final long CLIENT_TIMEOUT_MARGIN_MS = 1_000;

    /** How long new requests are still accepted after SIGTERM. */
    private static final long ACCEPT_WHILE_DRAINING_MS = 2_500;

    /** How long before the end of the grace period the process terminates. */
    private static final long GRACE_MARGIN_MS = 700;

    /** Interval at which the progress of draining is checked. */
    private static final long DRAIN_CHECK_INTERVAL_MS = 50;

    /** Time without requests in flight that is left for the last bytes to reach clients. */
    private static final long FLUSH_MS = 150;

    /** A balancer receives heartbeats of other balancers alone. */
    private static final RequestLimits INTERNAL_LIMITS =
            RequestLimits.DEFAULT.withMaxBodyBytes(1_024 * 1_024);

    /** Readiness checks have no body. */
    private static final RequestLimits READINESS_LIMITS =
            RequestLimits.DEFAULT.withMaxBodyBytes(16 * 1_024);

    private final NodeSettings settings;
    private final EventLoop loop;
    private final CountDownLatch terminated = new CountDownLatch(1);
    private DataPlane dataPlane;
    private ControlPoller poller;
    private HttpServer frontend;
    private long longestIdleTimeoutMs;
    private boolean isDraining;
    private long idleSinceMs;

    /** Why the components could not be started, null if they could. */
    private RuntimeException startFailure;

    private Main(NodeSettings settings, EventLoop loop) {
        this.settings = settings;
        this.loop = loop;
    }

    /** Runs a command of the data plane; see {@link DataCommand}. */
    public static void main(String[] arguments) {
        System.exit(DataCommand.run(arguments));
    }

    /**
     * Serves until SIGTERM, drains and terminates the process; does not return normally.
     *
     * @throws RuntimeException if the components cannot be started
     */
    static void serve(NodeSettings settings)
            throws InterruptedException, ReflectiveOperationException {
        Main main = new Main(settings, new EventLoop());
        main.loop.start();
        main.loop.execute(main::startOrTerminate);
        Signals.setHandler("TERM", () -> main.loop.execute(main::drain));
        Signals.setHandler("HUP", () -> main.loop.execute(main::reloadSeeds));
        main.terminated.await();
        if (main.startFailure != null) {
            throw main.startFailure;
        }
        Runtime.getRuntime().halt(0);
    }

    /** Starts to serve on a running event loop; called on that loop. */
    static void startOnLoop(NodeSettings settings, EventLoop loop) {
        new Main(settings, loop).start();
    }

    private void startOrTerminate() {
        try {
            start();
        } catch (RuntimeException e) {
            startFailure = e;
            terminated.countDown();
        }
    }

    private void start() {
        NodeSettings.Bounds bounds = settings.bounds();
        dataPlane =
                new DataPlane(
                        loop,
                        new HttpConnectionPool(loop),
                        new RetryBudget(bounds.budgetRatio(), bounds.budgetSlack()),
                        (request, timeoutMs, callback) ->
                                poller.requestQuota(request, timeoutMs, callback),
                        new WeightsRollout(bounds.versionMs()),
                        new WarmupSettings(
                                settings.nodeName(),
                                bounds.warmupOverage(),
                                bounds.warmupSlack(),
                                settings.heartbeatMs()),
                        System.nanoTime());
        PeerClient peers = new PeerClient(loop, settings.internal()::callAddress);
        HeartbeatAgent heartbeatAgent = new HeartbeatAgent(loop, peers, settings.nodeName());
        poller =
                new ControlPoller(
                        loop,
                        peers,
                        dataPlane,
                        settings.nodeName(),
                        settings.ip() + ":" + settings.firstPort(),
                        heartbeatAgent,
                        this::readSeeds);
        startServers(heartbeatAgent);
        dataPlane.start();
        poller.start();
        LOG.info("balancer {} listens at {}", settings.nodeName(), settings.frontend());
    }

    private void startServers(HeartbeatAgent heartbeatAgent) {
        ServerResources resources =
                new ServerResources(loop, settings.limits().descriptors(), LOG::warn);
        new MessageServer(
                loop,
                settings.internal().listen().host(),
                settings.internal().listen().port(),
                INTERNAL_LIMITS,
                resources,
                (message, callback) -> handleMessage(heartbeatAgent, message, callback));
        heartbeatAgent.start();
        Address readiness = settings.readiness();
        new HttpServer(
                loop,
                readiness.host(),
                readiness.port(),
                () -> READINESS_LIMITS,
                resources,
                this::handleReadinessProbe);
        Address clients = settings.frontend();
        frontend =
                new HttpServer(
                        loop,
                        clients.host(),
                        clients.port(),
                        this::frontendLimits,
                        resources,
                        dataPlane.router()::handle);
    }

    private static void handleMessage(
            HeartbeatAgent heartbeatAgent, Message message, Consumer<Message> callback) {
        boolean isHeartbeat = message instanceof BalancerHeartbeat;
        if (message instanceof BalancerHeartbeat heartbeat) {
            heartbeatAgent.onHeartbeat(heartbeat);
        }
        callback.accept(AcknowledgeResponse.of(isHeartbeat, 0, null));
    }

    /** Reads the seeds from the settings file again; the file may change without a signal. */
    private List<String> readSeeds() {
        List<Address> seeds = settings.seeds();
        try {
            seeds = NodeSettings.fromEnvironment().seeds();
        } catch (ResultException e) {
            LOG.warn(
                    "failed to reload the settings file, keeping the seeds from startup: {}",
                    e.getMessage());
        }
        return seeds.stream().map(seed -> seed.host() + ":" + settings.firstPort()).toList();
    }

    private void reloadSeeds() {
        poller.reloadSeeds();
    }

    private void handleReadinessProbe(ServerExchange exchange) {
        boolean isReady = poller.isReady() && !isDraining;
        exchange.respond(isReady ? 200 : 503, new Headers(), NO_BYTES);
    }

    /**
     * Returns the limits of the current configuration. A client may reuse an idle connection until
     * the timeout that it was sent last, which can be longer than the current one; so the longest
     * timeout so far applies.
     */
    private RequestLimits frontendLimits() {
        if (dataPlane.configuration() == null) {
            return requestLimits(ClientLimits.DEFAULT, ClientLimits.DEFAULT.idleTimeoutMs());
        }
        ClientLimits limits = dataPlane.configuration().limits();
        longestIdleTimeoutMs = Math.max(longestIdleTimeoutMs, limits.idleTimeoutMs());
        return requestLimits(limits, longestIdleTimeoutMs);
    }

    private static RequestLimits requestLimits(ClientLimits limits, long idleTimeoutMs) {
        return new RequestLimits(
                limits.maxHeaderBytes(),
                limits.maxBodyBytes(),
                limits.headerTimeoutMs() + CLIENT_TIMEOUT_MARGIN_MS,
                idleTimeoutMs + CLIENT_TIMEOUT_MARGIN_MS);
    }

    private void drain() {
        if (isDraining) {
            return;
        }
        isDraining = true;
        LOG.info("draining, {} requests in flight", dataPlane.activeRequests().size());
        long nowMs = loop.now();
        poller.announceLeaving();
        frontend.closeGracefully();
        awaitTermination(
                nowMs + ACCEPT_WHILE_DRAINING_MS,
                nowMs + settings.bounds().graceMs() - GRACE_MARGIN_MS);
    }

    /**
     * Terminates the process once no request has been in flight for {@link #FLUSH_MS}, but not
     * before {@code earliestMs} and at {@code latestMs} at the latest.
     */
    private void awaitTermination(long earliestMs, long latestMs) {
        long nowMs = loop.now();
        if (frontend.unanswered() > 0) {
            idleSinceMs = nowMs;
        }
        if (nowMs >= earliestMs) {
            dataPlane.router().rejectNewRequests();
        }
        boolean isIdle = nowMs - idleSinceMs >= FLUSH_MS;
        if (nowMs >= latestMs || (nowMs >= earliestMs && isIdle)) {
            int inFlight = dataPlane.activeRequests().size();
            LOG.info(
                    "terminating, {} requests in flight; {}; {}; quota units used: {}",
                    inFlight,
                    dataPlane.counters(),
                    dataPlane.warmupContext().counters(),
                    dataPlane.quotas().usage());
            terminated.countDown();
            return;
        }
        loop.schedule(DRAIN_CHECK_INTERVAL_MS, () -> awaitTermination(earliestMs, latestMs));
    }
}
