package myrtleladder.loadbalancer.admin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import myrtleladder.cluster.ConsensusRuntime;
import myrtleladder.cluster.MembershipRuntime;
import myrtleladder.loadbalancer.server.BalancerStatus;

/**
 * HTTP server for operators on the loopback interface: metrics of one load balancer ({@code
 * /metrics}) and this process's status of fleet membership ({@code /members}), consensus ({@code
 * /agreement}) and machine maintenance ({@code /work}). {@code /work} also accepts POST requests.
 *
 * <p>The server has its own single thread, which blocks while it waits for the load balancer's
 * event loop. Each query is one task on that loop. If the loop does not answer in time, the
 * response status is 503.
 */
final class AdminServer implements AutoCloseable {
    /** Limit of a request body; the largest allowed plan, of 1,000 machines, fits. */
    private static final int MAX_BODY_BYTES = 256 * 1_024;

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(
                    1, new DefaultThreadFactory("admin", true), NioIoHandler.newFactory());
    private final BalancerMetrics metrics;
    private final AdminRequestRouter router;
    private final Channel channel;

    /**
     * Binds the address and starts to serve requests.
     *
     * @param listen address on the loopback interface; port 0 selects any free port
     * @param process name of this process in its metrics
     * @param balancer queries the status of the load balancer on its event loop
     * @param membership null if no fleet is configured
     * @param consensus null if no voting members are configured
     * @param maintenance null if no voting members are configured
     */
    AdminServer(
            InetSocketAddress listen,
            String process,
            Supplier<Future<BalancerStatus>> balancer,
            MembershipRuntime membership,
            ConsensusRuntime consensus,
            MaintenanceRequestHandler maintenance) {
        metrics =
                new BalancerMetrics(
                        process, balancer, consensus == null ? null : consensus::status);
        router = new AdminRequestRouter(metrics, membership, consensus, maintenance);
        channel = bind(listen);
    }

    private Channel bind(InetSocketAddress listen) {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel accepted) {
                                accepted.pipeline()
                                        .addLast(
                                                new HttpServerCodec(),
                                                new HttpObjectAggregator(MAX_BODY_BYTES),
                                                new AdminHttpHandler(router));
                            }
                        })
                .bind(listen)
                .syncUninterruptibly()
                .channel();
    }

    /** The address that the server is bound to. */
    InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    @Override
    public void close() {
        channel.close().syncUninterruptibly();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        metrics.close();
    }
}
