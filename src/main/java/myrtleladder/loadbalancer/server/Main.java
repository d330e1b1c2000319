package myrtleladder.loadbalancer.server;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import myrtleladder.error.OperatorError;
import myrtleladder.error.OperatorError.AddressTaken;
import myrtleladder.error.OperatorError.LimitsTooSmall;
import myrtleladder.error.OperatorError.MissingEnvironmentVariable;
import myrtleladder.error.OperatorError.UnexpectedError;
import myrtleladder.loadbalancer.simulator.Adapter;
import myrtleladder.signal.Signals;

/**
 * Command line of the load balancer: {@code serve} runs one balancer on sockets, {@code adapter}
 * runs the decision module for the simulator, and {@code rehearse} does only the warm-up run.
 */
public final class Main {
    private static final System.Logger LOG = System.getLogger(Main.class.getName());

    /** Environment variable that contains the path of the configuration file. */
    private static final String CONFIG_VARIABLE = "NODE_CONFIG";

    /** With fewer file descriptors, hardly any are left for clients and upstreams. */
    private static final int MIN_DESCRIPTORS = 2 * LoadBalancerBootstrap.RESERVED_DESCRIPTORS;

    /**
     * Minimum memory limit: the JVM with its classes, compiled code and a small heap has a resident
     * size of 59 MB when it is ready.
     */
    private static final int MIN_MEMORY_MB = 64;

    /**
     * Largest group whose balancers listen before the warm-up run. In a larger group a balancer
     * listens after it: once it listens, the kernel accepts connections whose requests only this
     * balancer can answer, and other balancers would answer them sooner. In a small group there is
     * hardly another balancer, and waiting a second is better for clients than a refused
     * connection.
     */
    private static final int SMALL_GROUP_SIZE = 4;

    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_USAGE = 2;

    private Main() {}

    /**
     * Runs until SIGTERM ({@code serve}) or the end of input ({@code adapter}). {@code rehearse}
     * exits after it has loaded the classes needed for serving; the build uses it to record the
     * class data sharing archive.
     */
    public static void main(String[] args) {
        int exit = run(args, System.getenv(CONFIG_VARIABLE), System.err);
        if (exit != EXIT_OK) {
            System.exit(exit);
        }
    }

    /**
     * Calls {@link #run(String[], String, PrintStream, Consumer)} without additional components.
     */
    static int run(String[] args, String config, PrintStream err) {
        return run(args, config, err, balancer -> {});
    }

    /**
     * Runs a command. Returns 0 when the balancer serves or the adapter has ended, 1 after a
     * failure, 2 after a usage error.
     *
     * @param config path of the configuration file; null if there is none
     * @param beforeOpen called with the complete balancer before it is opened; opening waits for
     *     its return
     */
    public static int run(
            String[] args, String config, PrintStream err, Consumer<RunningBalancer> beforeOpen) {
        if (args.length == 1 && args[0].equals("adapter")) {
            return Adapter.run(args, System.in, System.out, err);
        }
        boolean isWarmupOnly = args.length == 1 && args[0].equals("rehearse");
        if (!isWarmupOnly && (args.length != 1 || !args[0].equals("serve"))) {
            err.println("usage: java -jar myrtleladder-loadbalancer.jar serve|adapter|rehearse");
            return EXIT_USAGE;
        }
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            if (config == null) {
                throw new MissingEnvironmentVariable(CONFIG_VARIABLE);
            }
            return serve(Path.of(config), group, isWarmupOnly, beforeOpen);
        } catch (Exception e) {
            // Every failure is reported to the operator as one line and an exit code.
            err.println("can't serve: " + asOperatorError(e).getMessage());
            group.shutdownGracefully();
            return EXIT_FAILURE;
        }
    }

    private static int serve(
            Path file,
            EventLoopGroup group,
            boolean isWarmupOnly,
            Consumer<RunningBalancer> beforeOpen)
            throws Exception {
        BalancerConfig config = BalancerConfig.read(file);
        warnOfSmallLimits(file, config);
        LoadBalancerServer server =
                LoadBalancerBootstrap.create(config, group.next(), Transport.TCP);
        if (!isWarmupOnly) {
            installSignalHandlers(file, config, server);
        }
        boolean isSmallGroup = config.settings().balancer().groupSize() <= SMALL_GROUP_SIZE;
        if (isSmallGroup) {
            listen(server, config);
        }
        int served = Warmup.run(config);
        if (!isSmallGroup) {
            listen(server, config);
        }
        beforeOpen.accept(
                new RunningBalancer(group.next(), server::status, server.trafficControl()));
        server.open();
        if (isWarmupOnly) {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
            return served > 0 ? EXIT_OK : EXIT_FAILURE;
        }
        return EXIT_OK;
    }

    private static void installSignalHandlers(
            Path file, BalancerConfig config, LoadBalancerServer server)
            throws ReflectiveOperationException {
        Signals.setHandler("HUP", () -> reload(file, server));
        // On SIGTERM the JVM waits for this hook while the event loop continues to run.
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> drain(config, server).awaitUninterruptibly()));
    }

    private static void listen(LoadBalancerServer server, BalancerConfig config)
            throws AddressTaken, InterruptedException {
        ChannelFuture bound = server.bind(Transport.TCP, config.listen()).await();
        if (!bound.isSuccess()) {
            throw new AddressTaken(config.listen(), String.valueOf(bound.cause()));
        }
    }

    /** Logs limits that are too small. The balancer starts anyway, since they may suffice. */
    private static void warnOfSmallLimits(Path file, BalancerConfig config) {
        if (config.memoryMb() < MIN_MEMORY_MB) {
            warn(new LimitsTooSmall(file, "limits.memory_mb", config.memoryMb(), MIN_MEMORY_MB));
        }
        if (config.maxFileDescriptors() < MIN_DESCRIPTORS) {
            warn(
                    new LimitsTooSmall(
                            file, "limits.sockets", config.maxFileDescriptors(), MIN_DESCRIPTORS));
        }
    }

    private static void warn(OperatorError error) {
        LOG.log(System.Logger.Level.WARNING, error.getMessage());
    }

    private static OperatorError asOperatorError(Exception e) {
        return e instanceof OperatorError error ? error : new UnexpectedError(e);
    }

    private static Future<Void> drain(BalancerConfig config, LoadBalancerServer server) {
        long longestDeadlineMs =
                config.settings().balancer().classes().stream()
                        .mapToLong(requestClass -> requestClass.timeoutUs() / 1_000)
                        .max()
                        .orElse(0);
        int balancers = config.settings().balancer().groupSize();
        ShutdownSchedule schedule = ShutdownSchedule.of(longestDeadlineMs, balancers);
        return server.drain(schedule.acceptMs(), schedule.lastResponseMs());
    }

    /** Reloads the configuration; keeps the current one if the file is invalid. */
    private static void reload(Path file, LoadBalancerServer server) {
        try {
            server.reload(BalancerConfig.read(file));
            LOG.log(System.Logger.Level.INFO, "reloaded the configuration");
        } catch (OperatorError e) {
            LOG.log(System.Logger.Level.ERROR, "went on with the old configuration", e);
        }
    }
}
