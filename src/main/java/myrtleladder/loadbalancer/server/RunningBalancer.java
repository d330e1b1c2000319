package myrtleladder.loadbalancer.server;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.function.Supplier;

/**
 * A balancer that is about to serve, for components that run beside it.
 *
 * @param loop the event loop that all of the balancer is confined to; whoever else runs on it must
 *     not block
 * @param status asks for a snapshot of counters and gauges, from any thread
 * @param trafficControl confined to {@code loop}
 */
public record RunningBalancer(
        EventLoop loop, Supplier<Future<BalancerStatus>> status, TrafficControl trafficControl) {}
