package myrtleladder.loadbalancer.policy;

/**
 * Decides which requests are hedged: those whose only outstanding attempt is at an upstream that
 * has answered nothing since the attempt was sent. Outlier ejection detects an upstream that hangs
 * or has vanished only after several answer times. By then the time in which a keyed request may be
 * repeated was often over, and the request could only fail at its deadline.
 *
 * <p>A token bucket limits hedges to a small fraction of requests.
 */
final class HedgingPolicy {
    /** Hedges earned by each request. */
    private static final double TOKENS_PER_REQUEST = 0.02;

    /** Size of the token bucket, in hedges. */
    private static final double MAX_TOKENS = 3;

    /**
     * Typical answer times after which to hedge if at least {@link #MIN_MISSED_ANSWERS} other
     * answers are missing too.
     */
    private static final double HEDGE_ANSWER_TIMES = 3;

    /**
     * Answers expected from the upstream since the attempt was sent. With fewer, the lack of
     * answers is no evidence that it hangs.
     */
    private static final double MIN_MISSED_ANSWERS = 2;

    /**
     * Fraction of the time that upstreams remember a key for after which to hedge a keyed request.
     */
    private static final double KEY_RETENTION_FRACTION = 0.6;

    private final RequestStatistics statistics;
    private final QueueingDelayTarget delayTarget;
    private double tokens = MAX_TOKENS;

    HedgingPolicy(RequestStatistics statistics, QueueingDelayTarget delayTarget) {
        this.statistics = statistics;
        this.delayTarget = delayTarget;
    }

    /** Adds the tokens that an arriving request earns. */
    void addTokens() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST);
    }

    boolean hasToken() {
        return tokens >= 1;
    }

    void takeToken() {
        tokens--;
    }

    /** Whether the only outstanding attempt is the last one and has got no answer for too long. */
    boolean isDue(RequestState request, long nowUs) {
        if (request.isEnded
                || request.isStreaming
                || request.requestClass.idempotency() == Idempotency.NON_IDEMPOTENT
                || request.attempts.isEmpty()) {
            return false;
        }
        Attempt last = request.lastAttempt();
        if (!last.isOutstanding
                || last.upstream.lastProgressAtUs > last.sentAtUs
                || request.outstandingAttempts() != 1) {
            return false;
        }
        double typicalUs = typicalAnswerTimeUs(request, last.upstream);
        return nowUs - last.sentAtUs > timeoutUs(request, last, typicalUs, nowUs)
                && nowUs + typicalUs
                        <= (request.requestClass.lateValueFactor() > 0
                                ? request.deadlineUs
                                : request.latencyTargetAtUs);
    }

    private double typicalAnswerTimeUs(RequestState request, UpstreamState upstream) {
        double observedUs =
                Math.max(
                        statistics.answerTimeUs(),
                        Math.max(
                                upstream.answerTimeUs,
                                statistics.classAnswerTimeUs(request.request.classIndex())));
        return Math.max(observedUs, delayTarget.tightestUs()); // before the first answers
    }

    /**
     * Time after which to hedge, microseconds. It is longer if this balancer gets few answers from
     * the upstream, because then their absence is weak evidence.
     */
    private double timeoutUs(RequestState request, Attempt last, double typicalUs, long nowUs) {
        double missed =
                last.upstream.completedWorkRate
                        / Math.max(statistics.meanCost(), 1)
                        * (nowUs - last.sentAtUs);
        double answerTimes =
                missed >= MIN_MISSED_ANSWERS
                        ? HEDGE_ANSWER_TIMES
                        : OutlierEjection.HANG_ANSWER_TIMES;
        double timeoutUs = answerTimes * typicalUs;
        if (request.requestClass.idempotency() == Idempotency.IDEMPOTENT_BY_KEY) {
            double windowUs = KEY_RETENTION_FRACTION * request.requestClass.keyRetentionUs();
            timeoutUs = Math.min(timeoutUs, Math.max(windowUs, HEDGE_ANSWER_TIMES * typicalUs));
        }
        return timeoutUs;
    }
}
