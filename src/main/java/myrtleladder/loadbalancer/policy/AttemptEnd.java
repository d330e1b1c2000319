package myrtleladder.loadbalancer.policy;

/**
 * The end of an attempt.
 *
 * @param request identifier of the request
 * @param attempt index of the attempt, from 0 in order of sending
 * @param upstream identifier of the upstream that it was sent to
 * @param outcome how it ended
 * @param tookUs time from its send to its end, microseconds
 * @param isConcluded whether the request needs no further answer
 * @param load the load report that came with it; null if there was none
 */
public record AttemptEnd(
        String request,
        int attempt,
        String upstream,
        Outcome outcome,
        long tookUs,
        boolean isConcluded,
        LoadReport load) {}
