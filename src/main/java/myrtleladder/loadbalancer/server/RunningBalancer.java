package myrtleladder.loadbalancer.server;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.function.Supplier;

/**
 * A balancer that is about to serve, for parts that are switched on beside it.
 *
 * @param loop where all of it happens; whoever lives there too must not keep it waiting
 * @param status what it has done and what it holds, as of soon
 * @param sending to upstreams, on the loop
 */
public record RunningBalancer(
        EventLoop loop, Supplier<Future<BalancerStatus>> status, TrafficControl sending) {}
