package myrtleladder.loadbalancer.server;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import myrtleladder.error.OperatorError;
import myrtleladder.error.OperatorError.AddressTaken;
import myrtleladder.error.OperatorError.LimitsTooSmall;
import myrtleladder.error.OperatorError.NotTold;
import myrtleladder.error.OperatorError.Unexpected;
import myrtleladder.loadbalancer.simulator.Adapter;
import myrtleladder.signal.Signals;

/**
 * Command line: {@code serve} runs one balancer on sockets, {@code adapter} the module on the
 * simulator.
 */
public final class Main {
    private static final System.Logger LOG = System.getLogger(Main.class.getName());

    /** Descriptors that the JVM itself needs: jars, selector, log. */
    private static final int OWN_DESCRIPTORS = 64;

    /** Less leaves next to nothing for clients and upstreams. */
    private static final int LEAST_DESCRIPTORS = 2 * OWN_DESCRIPTORS;

    /**
     * The JVM with its classes, compiled code and a small heap: 59 MB are resident when it is
     * ready.
     */
    private static final int LEAST_MEMORY_MB = 64;

    /** Of the rest clients get this part at most; upstreams have the others. */
    private static final double CLIENT_PART = 0.75;

    /** SIGKILL comes so long after SIGTERM at the earliest, and the longest deadline later. */
    private static final long KILL_MS = 700;

    /** A longer deadline counts as this one. */
    private static final long LONGEST_DEADLINE_MS = 3_000;

    /**
     * All is answered so long before SIGKILL: what that finds unanswered is lost, and we may run
     * late.
     */
    private static final long SPARE_MS = 300;

    /** Nothing new is taken for so long before the last answer; few requests take longer. */
    private static final long LAST_REQUESTS_MS = 500;

    /**
     * The same where others serve meanwhile: a stop that is late by half of this still loses
     * nothing.
     */
    private static final long LAST_REQUESTS_OF_MANY_MS = 1_500;

    /**
     * New connections come for up to 0.4 s after SIGTERM; a little later none waits to be accepted.
     */
    private static final long LEAST_ACCEPTING_MS = 500;

    /**
     * Of more than this, a balancer listens only after its rehearsal: the machine takes connections
     * from then on, their requests are ours to answer, and clients do better elsewhere. With so few
     * there is hardly any other, and to wait a second here is better than to be refused.
     */
    private static final int FEW = 4;

    private Main() {}

    /**
     * Runs until SIGTERM ({@code serve}) or the end of input ({@code adapter}). {@code rehearse}
     * ends by itself after it has loaded what serving needs: the build has the JVM keep that in an
     * archive.
     */
    public static void main(String[] args) {
        int exit = run(args, System.getenv("NODE_CONFIG"), System.err);
        if (exit != 0) {
            System.exit(exit);
        }
    }

    /**
     * Returns 0 once serving or at the adapter's end, 1 if that failed, 2 after a wrong command
     * line.
     */
    static int run(String[] args, String config, PrintStream err) {
        return run(args, config, err, balancer -> {});
    }

    /**
     * The same; {@code serving} gets the balancer when all is there, and may put off its opening.
     */
    public static int run(
            String[] args, String config, PrintStream err, Consumer<RunningBalancer> serving) {
        if (args.length == 1 && args[0].equals("adapter")) {
            return Adapter.run(args, System.in, System.out, err);
        }
        boolean rehearse = args.length == 1 && args[0].equals("rehearse");
        if (!rehearse && (args.length != 1 || !args[0].equals("serve"))) {
            err.println("usage: java -jar myrtleladder-loadbalancer.jar serve|adapter|rehearse");
            return 2;
        }
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            if (config == null) {
                throw new NotTold("NODE_CONFIG");
            }
            Path file = Path.of(config);
            BalancerConfig found = BalancerConfig.read(file);
            warn(file, found);
            LoadBalancerServer server = follow(found, group.next(), Transport.TCP);
            if (!rehearse) {
                Signals.on("HUP", () -> reload(file, server));
                // On SIGTERM the JVM waits for this hook while the event loop goes on.
                Runtime.getRuntime()
                        .addShutdownHook(
                                new Thread(() -> stop(found, server).awaitUninterruptibly()));
            }
            boolean few = found.facts().settings().groupSize() <= FEW;
            if (few) {
                listen(server, found);
            }
            int served = Warmup.run(found);
            if (!few) {
                listen(server, found);
            }
            serving.accept(new RunningBalancer(group.next(), server::status, server.sending()));
            server.open();
            if (rehearse) {
                group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
                return served > 0 ? 0 : 1;
            }
            return 0;
        } catch (Exception e) {
            err.println("can't serve: " + known(e).getMessage());
            group.shutdownGracefully();
            return 1;
        }
    }

    private static void listen(LoadBalancerServer server, BalancerConfig config)
            throws AddressTaken, InterruptedException {
        ChannelFuture bound = server.bind(Transport.TCP, config.listen()).await();
        if (!bound.isSuccess()) {
            throw new AddressTaken(config.listen(), String.valueOf(bound.cause()));
        }
    }

    /**
     * It may still do, so it tries; whoever looks for the cause of what follows finds it in the
     * log.
     */
    private static void warn(Path file, BalancerConfig config) {
        if (config.memoryMb() < LEAST_MEMORY_MB) {
            warn(new LimitsTooSmall(file, "limits.memory_mb", config.memoryMb(), LEAST_MEMORY_MB));
        }
        if (config.sockets() < LEAST_DESCRIPTORS) {
            warn(new LimitsTooSmall(file, "limits.sockets", config.sockets(), LEAST_DESCRIPTORS));
        }
    }

    private static void warn(OperatorError error) {
        LOG.log(System.Logger.Level.WARNING, error.getMessage());
    }

    /** What keeps a balancer from its start, as an operator is told it. */
    private static OperatorError known(Exception e) {
        return e instanceof OperatorError o ? o : new Unexpected(e);
    }

    /**
     * When a planned stop takes nothing new any more, and when it answers all that is left, in ms.
     */
    record Stop(long keepAccepting, long lastAnswer) {
        /**
         * With no other balancer to go to, each moment not served is lost: serves as long as is
         * safe. With others, requests lost to a loop that is late cost more than those that others
         * serve.
         */
        static Stop of(long longestDeadline, double balancers) {
            long last = KILL_MS + Math.min(LONGEST_DEADLINE_MS, longestDeadline) - SPARE_MS;
            long before = balancers > 1 ? LAST_REQUESTS_OF_MANY_MS : LAST_REQUESTS_MS;
            return new Stop(Math.max(LEAST_ACCEPTING_MS, last - before), last);
        }
    }

    private static Future<Void> stop(BalancerConfig config, LoadBalancerServer server) {
        long deadline =
                config.facts().settings().classes().stream()
                        .mapToLong(c -> c.giveUp() / 1_000)
                        .max()
                        .orElse(0);
        Stop stop = Stop.of(deadline, config.facts().settings().groupSize());
        return server.drain(stop.keepAccepting(), stop.lastAnswer());
    }

    /** A file that can't be used changes nothing: the balancer goes on with what it has. */
    private static void reload(Path file, LoadBalancerServer server) {
        try {
            server.reload(BalancerConfig.read(file));
            LOG.log(System.Logger.Level.INFO, "read the configuration again");
        } catch (OperatorError e) {
            LOG.log(System.Logger.Level.ERROR, "went on with the old configuration", e);
        }
    }

    /** Starts a balancer that is ready once opened; all of it lives on the one event loop. */
    static LoadBalancerServer serve(BalancerConfig config, EventLoop loop, Transport transport)
            throws Exception {
        LoadBalancerServer server = follow(config, loop, transport);
        server.bind(transport, config.listen()).sync();
        return server;
    }

    /** Brings up a balancer that follows discovery already, but to which no client can come yet. */
    static LoadBalancerServer follow(BalancerConfig config, EventLoop loop, Transport transport)
            throws Exception {
        Callable<LoadBalancerServer> start =
                () -> {
                    int descriptors = Math.max(0, config.sockets() - OWN_DESCRIPTORS);
                    int forClients = Math.max(1, (int) (CLIENT_PART * descriptors));
                    var settings = config.facts().settings();
                    UpstreamConnectionPool upstreams =
                            new UpstreamConnectionPool(
                                    loop,
                                    transport,
                                    settings.limits().connectTimeout(),
                                    settings.limits().connectIdle(),
                                    Math.max(1, descriptors - forClients));
                    BalancerRuntime driver = new BalancerRuntime(loop, config, upstreams);
                    driver.start(
                            new DiscoveryClient(
                                    loop,
                                    transport,
                                    config.discovery(),
                                    settings.askForList(),
                                    config.known().version(),
                                    driver),
                            config.known());
                    return new LoadBalancerServer(loop, driver, config.facts(), forClients);
                };
        return loop.inEventLoop() ? start.call() : loop.submit(start).get();
    }
}
