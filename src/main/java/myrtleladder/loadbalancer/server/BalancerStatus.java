package myrtleladder.loadbalancer.server;

import java.util.Map;

/**
 * A snapshot of a balancer's gauges, and of its counters since the start. Immutable.
 *
 * @param isReady whether there is an endpoint list to serve from
 * @param upstreams number of upstreams in the endpoint list
 * @param openRequests requests received and not completed yet
 * @param connections connections to upstreams, open or being established
 * @param connects connection attempts to upstreams since the start
 * @param requests requests received since the start
 * @param answers responses since the start, by result: {@code served}, {@code refused}, {@code
 *     failed}, and {@code left} for clients that disconnected before the response
 * @param attempts ended attempts since the start, by outcome
 */
public record BalancerStatus(
        boolean isReady,
        int upstreams,
        int openRequests,
        int connections,
        long connects,
        long requests,
        Map<String, Long> answers,
        Map<String, Long> attempts) {}
