package myrtleladder.loadbalancer.policy;

/** Decides which attempts and which final answers the idempotency of a request permits. */
final class RetryPolicy {
    private final Limits limits;

    /** Subtracted from the time that upstreams remember keys for, microseconds. */
    private final long marginUs;

    RetryPolicy(Limits limits, long marginUs) {
        this.limits = limits;
        this.marginUs = marginUs;
    }

    /** Whether an attempt at that upstream is permitted now. */
    boolean maySend(RequestState request, UpstreamState upstream, long nowUs) {
        if (request.isEnded
                || request.isStreaming
                || !hasAttemptsLeft(request)
                || nowUs >= request.deadlineUs) {
            return false;
        }
        if (request.attempts.isEmpty()) {
            return true;
        }
        if (request.outstandingAttempts() > 0 && !limits.hedging()) {
            return false;
        }
        Attempt first = request.firstAttemptThatMayHaveRun();
        return first == null || mayRepeat(request.requestClass, first, upstream, nowUs);
    }

    boolean hasAttemptsLeft(RequestState request) {
        return request.attempts.size() < limits.maxAttempts();
    }

    private boolean mayRepeat(
            RequestClass requestClass, Attempt first, UpstreamState upstream, long nowUs) {
        return requestClass.idempotency() == Idempotency.IDEMPOTENT
                || (requestClass.idempotency() == Idempotency.IDEMPOTENT_BY_KEY
                        && sharesMemory(
                                requestClass.deduplicationScope(),
                                first.upstream.endpoint,
                                upstream.endpoint)
                        && nowUs - first.sentAtUs < requestClass.keyRetentionUs() - marginUs);
    }

    /** Whether each of two upstreams recognises the keys that the other has seen. */
    private static boolean sharesMemory(DeduplicationScope scope, Upstream a, Upstream b) {
        return scope == DeduplicationScope.ALL
                || (scope == DeduplicationScope.ZONE && a.zone() == b.zone())
                || (scope == DeduplicationScope.CELL && a.cell() == b.cell());
    }

    /** Whether a request may be rejected, which tells the client that a retry does no harm. */
    static boolean mayReject(RequestState request) {
        RequestClass requestClass = request.requestClass;
        return requestClass.idempotency() == Idempotency.IDEMPOTENT
                || request.firstAttemptThatMayHaveRun() == null
                || (requestClass.idempotency() == Idempotency.IDEMPOTENT_BY_KEY
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL);
    }
}
