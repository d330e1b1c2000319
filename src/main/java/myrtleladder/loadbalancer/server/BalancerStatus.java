package myrtleladder.loadbalancer.server;

import java.util.Map;

/**
 * A snapshot of a balancer's gauges, and of its counters since the start. Immutable.
 *
 * @param isReady whether there is an endpoint list to serve from
 * @param upstreams number on the list
 * @param openRequests requests received and not ended yet
 * @param connections to upstreams, open or coming up
 * @param connects connections to upstreams begun so far
 * @param requests received so far
 * @param answers so far, by result: {@code served}, {@code refused}, {@code failed}, and {@code
 *     left} for clients that left before the response
 * @param attempts ended so far, by outcome
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
