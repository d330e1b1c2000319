package myrtleladder.loadbalancer.server;

import io.netty.channel.EventLoop;
import java.util.concurrent.Callable;
import myrtleladder.loadbalancer.policy.Settings;

/** Creates load balancers from their configuration, each confined to one event loop. */
final class LoadBalancerBootstrap {
    /** File descriptors reserved for the JVM itself: jars, selector and log. */
    static final int RESERVED_DESCRIPTORS = 64;

    /** Fraction of the other file descriptors for clients; the rest is for upstreams. */
    private static final double CLIENT_FRACTION = 0.75;

    private LoadBalancerBootstrap() {}

    /**
     * Creates a balancer and binds its address. It reports healthy only after {@link
     * LoadBalancerServer#open}. Must not be called on the event loop.
     */
    static LoadBalancerServer bind(BalancerConfig config, EventLoop loop, Transport transport)
            throws Exception {
        LoadBalancerServer server = create(config, loop, transport);
        server.bind(transport, config.listen()).sync();
        return server;
    }

    /** Creates a balancer that watches discovery but does not listen yet. */
    static LoadBalancerServer create(BalancerConfig config, EventLoop loop, Transport transport)
            throws Exception {
        Callable<LoadBalancerServer> create = () -> createOnLoop(config, loop, transport);
        return loop.inEventLoop() ? create.call() : loop.submit(create).get();
    }

    private static LoadBalancerServer createOnLoop(
            BalancerConfig config, EventLoop loop, Transport transport) {
        int descriptors = Math.max(0, config.maxFileDescriptors() - RESERVED_DESCRIPTORS);
        int clientDescriptors = Math.max(1, (int) (CLIENT_FRACTION * descriptors));
        Settings settings = config.settings().balancer();
        UpstreamConnectionPool connections =
                new UpstreamConnectionPool(
                        loop,
                        transport,
                        settings.limits().connectTimeoutUs(),
                        settings.limits().idleConnectionTimeoutUs(),
                        Math.max(1, descriptors - clientDescriptors));
        BalancerRuntime balancer = new BalancerRuntime(loop, config, connections);
        DiscoveryClient discovery =
                new DiscoveryClient(
                        loop,
                        transport,
                        config.discovery(),
                        settings.listSubscription(),
                        config.initialEndpoints().version(),
                        balancer);
        balancer.start(discovery, config.initialEndpoints());
        return new LoadBalancerServer(loop, balancer, config.settings(), clientDescriptors);
    }
}
