package myrtleladder.loadbalancer.policy;

/**
 * The end of an attempt.
 *
 * @param requestId identifier of the request
 * @param attemptIndex index of the attempt, from 0 in order of sending
 * @param upstreamId identifier of the upstream that it was sent to
 * @param outcome how it ended
 * @param durationUs time from its send to its end, microseconds
 * @param isConcluded whether the request needs no further answer
 * @param load the load report that came with it; null if there was none
 */
public record AttemptEnd(
        String requestId,
        int attemptIndex,
        String upstreamId,
        Outcome outcome,
        long durationUs,
        boolean isConcluded,
        LoadReport load) {}
