package myrtleladder.loadbalancer.server;

import java.util.Map;

/**
 * What one balancer has done since its start, and what it holds now; made when somebody asks.
 *
 * @param ready whether it has a list to serve from
 * @param upstreams on the list
 * @param open requests taken that are not ended yet
 * @param connections open or coming up, to upstreams
 * @param connects connections opened to upstreams so far
 * @param requests taken so far
 * @param answers given so far: {@code served}, {@code refused}, {@code failed}; {@code left}: no
 *     answer due
 * @param attempts ended so far, by how they ended
 */
public record BalancerStatus(
        boolean ready,
        int upstreams,
        int open,
        int connections,
        long connects,
        long requests,
        Map<String, Long> answers,
        Map<String, Long> attempts) {}
