package yewyoke.dataplane;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import yewyoke.configuration.ClientLimits;
import yewyoke.io.EventLoop;
import yewyoke.io.Headers;
import yewyoke.io.HttpServer;
import yewyoke.io.ServerExchange;
import yewyoke.process.NodeSettings;
import yewyoke.process.Signals;
import yewyoke.rpc.PeerClient;

/** The data plane's program. */
public final class Main {
    private static final Logger LOG = LogManager.getLogger(Main.class);
    private static final byte[] NO_BYTES = {};
    private static final long IDLE_CHECK = 500;
    private static final long REST_MARGIN = 1_000;
    private static final long STILL_ACCEPTING = 2_500;
    private static final long GRACE_MARGIN = 700;
    private static final long DRAIN_CHECK = 50;

    private final NodeSettings settings;
    private final EventLoop loop;
    private final CountDownLatch ended = new CountDownLatch(1);
    private Router router;
    private ControlPoller poller;
    private HttpServer front;
    private long longestIdle;
    private boolean draining;

    private Main(NodeSettings settings, EventLoop loop) {
        this.settings = settings;
        this.loop = loop;
    }

    /** Begins to serve on a loop that runs; called on the loop. */
    static void beginOn(NodeSettings settings, EventLoop loop) {
        new Main(settings, loop).begin();
    }

    /** Runs the program; see {@link DataCommand} for its words. */
    public static void main(String[] arguments) {
        System.exit(DataCommand.run(arguments));
    }

    /** Serves until SIGTERM and the end of what is under way. */
    static void serve(NodeSettings settings) throws InterruptedException {
        Main main = new Main(settings, new EventLoop());
        main.loop.start();
        main.loop.execute(main::begin);
        Signals.on("TERM", () -> main.loop.execute(main::drain));
        Signals.on("HUP", () -> main.loop.execute(() -> LOG.info("settings are read at each start only")));
        main.ended.await();
        Runtime.getRuntime().halt(0);
    }

    private void begin() {
        NodeSettings.Bounds bounds = settings.bounds();
        router = new Router(loop, new Connections(loop),
                new RetryBudget(bounds.budgetRatio(), bounds.budgetSlack()),
                (ask, timeout, answer) -> poller.ask(ask, timeout, answer), System.nanoTime());
        List<String> seeds = settings.seeds().stream()
                .map(s -> s.host() + ":" + settings.firstPort()).toList();
        poller = new ControlPoller(loop, new PeerClient(loop), router, settings.nodeName(), seeds);
        new HttpServer(loop, settings.readiness().host(), settings.readiness().port(), this::readiness);
        front = new HttpServer(loop, settings.frontend().host(), settings.frontend().port(), router::handle);
        router.start();
        poller.start();
        checkIdle();
        LOG.info("balancer {} at {}", settings.nodeName(), settings.frontend());
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
        // A client rests by what it was told last; a bound that became shorter holds for later answers.
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
        if (now >= latest || now >= earliest && front.unanswered() == 0) {
            LOG.info("ends with {} under way; {}", router.underWay(), router.counters());
            ended.countDown();
            return;
        }
        loop.schedule(DRAIN_CHECK, () -> awaitEnd(earliest, latest));
    }
}
