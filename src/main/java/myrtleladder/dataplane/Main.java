package myrtleladder.dataplane;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import myrtleladder.configuration.ClientLimits;
import myrtleladder.heartbeat.HeartbeatAgent;
import myrtleladder.io.EventLoop;
import myrtleladder.io.Headers;
import myrtleladder.io.HttpServer;
import myrtleladder.io.ServerExchange;
import myrtleladder.io.SystemException;
import myrtleladder.process.Address;
import myrtleladder.process.NodeSettings;
import myrtleladder.protocol.AcknowledgeResponse;
import myrtleladder.protocol.BalancerHeartbeat;
import myrtleladder.rpc.MessageServer;
import myrtleladder.rpc.PeerClient;
import myrtleladder.signal.Signals;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** The data plane's program. */
public final class Main {
    private static final Logger LOG = LogManager.getLogger(Main.class);
    private static final byte[] NO_BYTES = {};
    private static final long IDLE_CHECK = 500;
    private static final long REST_MARGIN = 1_000;
    private static final long STILL_ACCEPTING = 2_500;
    private static final long GRACE_MARGIN = 700;
    private static final long DRAIN_CHECK = 50;
    private static final long LAST_BYTES = 150;

    private final NodeSettings settings;
    private final EventLoop loop;
    private final int internalPort;
    private final CountDownLatch ended = new CountDownLatch(1);
    private Router router;
    private ControlPoller poller;
    private HttpServer front;
    private long longestIdle;
    private boolean draining;
    private long quietSince;

    private Main(NodeSettings settings, int internalPort, EventLoop loop) {
        this.settings = settings;
        this.internalPort = internalPort;
        this.loop = loop;
    }

    /** Begins to serve on a loop that runs; called on the loop. */
    static void beginOn(NodeSettings settings, int internalPort, EventLoop loop) {
        new Main(settings, internalPort, loop).begin();
    }

    /** Runs the program; see {@link DataCommand} for its words. */
    public static void main(String[] arguments) {
        System.exit(DataCommand.run(arguments));
    }

    /** Serves until SIGTERM and the end of what is under way. */
    static void serve(NodeSettings settings)
            throws InterruptedException, ReflectiveOperationException {
        Main main = new Main(settings, settings.firstPort(), new EventLoop());
        main.loop.start();
        main.loop.execute(main::begin);
        Signals.on("TERM", () -> main.loop.execute(main::drain));
        Signals.on("HUP", () -> main.loop.execute(main::readSeeds));
        main.ended.await();
        Runtime.getRuntime().halt(0);
    }

    private void begin() {
        NodeSettings.Bounds bounds = settings.bounds();
        router =
                new Router(
                        loop,
                        new Connections(loop),
                        new RetryBudget(bounds.budgetRatio(), bounds.budgetSlack()),
                        (ask, timeout, answer) -> poller.ask(ask, timeout, answer),
                        System.nanoTime());
        PeerClient peers = new PeerClient(loop);
        HeartbeatAgent agent = new HeartbeatAgent(loop, peers, settings.nodeName());
        poller =
                new ControlPoller(
                        loop,
                        peers,
                        router,
                        settings.nodeName(),
                        settings.ip() + ":" + internalPort,
                        agent,
                        this::seedsNow);
        new MessageServer(
                loop,
                settings.ip(),
                internalPort,
                (message, answer) -> {
                    if (message instanceof BalancerHeartbeat alive) {
                        agent.onHeartbeat(alive);
                    }
                    answer.accept(
                            AcknowledgeResponse.of(message instanceof BalancerHeartbeat, 0, null));
                });
        agent.start();
        new HttpServer(
                loop, settings.readiness().host(), settings.readiness().port(), this::readiness);
        front =
                new HttpServer(
                        loop,
                        settings.frontend().host(),
                        settings.frontend().port(),
                        router::handle);
        router.start();
        poller.start();
        checkIdle();
        LOG.info("balancer {} at {}", settings.nodeName(), settings.frontend());
    }

    /** The seeds as the settings file has them now: it may change with no signal. */
    private List<String> seedsNow() {
        List<Address> seeds = settings.seeds();
        try {
            seeds = NodeSettings.fromEnvironment().seeds();
        } catch (SystemException e) {
            LOG.warn("the settings file is left: {}", e.getMessage());
        }
        return seeds.stream().map(s -> s.host() + ":" + settings.firstPort()).toList();
    }

    private void readSeeds() {
        poller.readSeeds();
    }

    private void readiness(ServerExchange exchange) {
        boolean ready = poller.ready() && !draining;
        exchange.respond(ready ? 200 : 503, new Headers(), NO_BYTES);
    }

    private void checkIdle() {
        loop.schedule(IDLE_CHECK, this::checkIdle);
        if (router.configuration() == null) {
            return;
        }
        ClientLimits limits = router.configuration().limits();
        // A client rests by what it was told last; a bound that became shorter holds for later
        // answers.
        longestIdle = Math.max(longestIdle, limits.idleTimeoutMs());
        front.limitBody(limits.maxBodyBytes());
        front.closeIdle(longestIdle + REST_MARGIN, limits.headerTimeoutMs() + REST_MARGIN);
    }

    private void drain() {
        if (draining) {
            return;
        }
        draining = true;
        LOG.info("draining with {} under way", router.underWay());
        long now = loop.now();
        poller.leave();
        front.closeGracefully();
        awaitEnd(now + STILL_ACCEPTING, now + settings.bounds().graceMs() - GRACE_MARGIN);
    }

    private void awaitEnd(long earliest, long latest) {
        long now = loop.now();
        quietSince = front.unanswered() > 0 ? now : quietSince;
        if (now >= earliest) {
            router.stopTaking();
        }
        if (now >= latest || now >= earliest && now - quietSince >= LAST_BYTES) {
            LOG.info("ends with {} under way; {}", router.underWay(), router.counters());
            ended.countDown();
            return;
        }
        loop.schedule(DRAIN_CHECK, () -> awaitEnd(earliest, latest));
    }
}
