package myrtleladder.loadbalancer.policy;

/**
 * The end of an attempt.
 *
 * @param request name of the request
 * @param attempt number of the attempt, from 0 in order of sending
 * @param upstream name of the upstream that it was sent to
 * @param outcome how it ended
 * @param tookUs time from its send to its end
 * @param isConcluded whether the request needs no further answer
 * @param load the load report that came along; null if none did
 */
public record AttemptEnd(
        String request,
        int attempt,
        String upstream,
        Outcome outcome,
        long tookUs,
        boolean isConcluded,
        LoadReport load) {}
