package myrtleladder.loadbalancer.policy;

/**
 * Which requests are hedged: those whose only outstanding attempt is at an upstream that has
 * answered nothing since. One that vanished or hangs is known only after several answer times; by
 * then the time in which a keyed request may be repeated was often over, and it failed at its
 * deadline with nothing else to be done.
 *
 * <p>A token bucket bounds hedges to a small share of requests.
 */
final class HedgingPolicy {
    /** Hedges allowed for each request. */
    private static final double TOKENS_PER_REQUEST = 0.02;

    /** Most hedges saved up. */
    private static final double MOST_TOKENS = 3;

    /** Typical answer times to wait for an answer where enough other answers are missed. */
    private static final double HEDGE_ANSWER_TIMES = 3;

    /** Answers that should have come meanwhile and did not, for a silence to mean much. */
    private static final double MISSED_ANSWERS = 2;

    /** Part of the time in which a keyed request may be repeated after which to hedge. */
    private static final double MEMORY_SPAN_SHARE = 0.6;

    private final RequestStatistics statistics;
    private final QueueingDelayTarget delayTarget;
    private double tokens = MOST_TOKENS;

    HedgingPolicy(RequestStatistics statistics, QueueingDelayTarget delayTarget) {
        this.statistics = statistics;
        this.delayTarget = delayTarget;
    }

    /** A request has arrived: part of a hedge is earned. */
    void earnTokens() {
        tokens = Math.min(MOST_TOKENS, tokens + TOKENS_PER_REQUEST);
    }

    boolean hasToken() {
        return tokens >= 1;
    }

    void takeToken() {
        tokens--;
    }

    /** Whether the last attempt is the only one outstanding and has gone unanswered too long. */
    boolean isDue(RequestState request, long nowUs) {
        if (request.isEnded
                || request.isStreaming
                || request.requestClass.effect() == Effect.UNSAFE
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
                        <= (request.requestClass.lateFactor() > 0
                                ? request.deadlineUs
                                : request.targetAtUs);
    }

    private double typicalAnswerTimeUs(RequestState request, UpstreamState upstream) {
        double seenUs =
                Math.max(
                        statistics.answerTimeUs(),
                        Math.max(
                                upstream.answerTimeUs,
                                statistics.classAnswerTimeUs(request.request.classIndex())));
        return Math.max(seenUs, delayTarget.tightestUs()); // nothing is seen at first
    }

    /** To a balancer that sees few answers of an upstream, its silence says little. */
    private double timeoutUs(RequestState request, Attempt last, double typicalUs, long nowUs) {
        double missed =
                last.upstream.completedWorkRate
                        / Math.max(statistics.meanCost(), 1)
                        * (nowUs - last.sentAtUs);
        double answerTimes =
                missed >= MISSED_ANSWERS ? HEDGE_ANSWER_TIMES : OutlierEjection.HANG_ANSWER_TIMES;
        double timeoutUs = answerTimes * typicalUs;
        if (request.requestClass.effect() == Effect.KEYED) {
            double windowUs = MEMORY_SPAN_SHARE * request.requestClass.memorySpanUs();
            timeoutUs = Math.min(timeoutUs, Math.max(windowUs, HEDGE_ANSWER_TIMES * typicalUs));
        }
        return timeoutUs;
    }
}
