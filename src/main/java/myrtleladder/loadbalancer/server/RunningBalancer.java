package myrtleladder.loadbalancer.server;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.function.Supplier;

/**
 * Access to a balancer for other components in the same process. It is handed out when the balancer
 * is complete, just before it opens.
 *
 * @param loop the event loop to which the balancer is confined; tasks on it must not block
 * @param status requests a snapshot of counters and gauges; may be called from any thread
 * @param trafficControl control of the balancer's traffic; confined to {@code loop}
 */
public record RunningBalancer(
        EventLoop loop, Supplier<Future<BalancerStatus>> status, TrafficControl trafficControl) {}
