package myrtleladder.loadbalancer.policy;

/**
 * Adjusts an in-flight limit for each upstream by additive increase and multiplicative decrease
 * (AIMD), depending on the queueing delay of its answers. The limit is cut at most once for each
 * round trip. Otherwise one group of slow answers would reduce it to its minimum.
 */
final class ConcurrencyLimiter {
    /**
     * Initial in-flight limit of an upstream over all balancers, in requests; gives a short queue.
     */
    static final double FIRST_TOTAL = 3;

    /** Minimum in-flight limit, in requests. */
    private static final double LEAST_LIMIT = 0.05;

    /** Factor on the limit for a delay just above the target. */
    private static final double SMALLEST_CUT = 0.8;

    /** Minimum factor on the limit for a delay above the target. */
    private static final double DEEPEST_CUT = 0.4;

    /** Factor on the limit after a rejection, which shows that the queue is full. */
    private static final double REJECTION_CUT = 0.7;

    /** Increase for each round trip without too long a delay, in requests. */
    private static final double INCREASE = 0.3;

    /**
     * Growth rate of the minimum service time, as natural logarithm per microsecond: it doubles in
     * 30 seconds.
     */
    private static final double MIN_SERVICE_TIME_GROWTH = Math.log(2) / 30e6;

    private final int groupSize;
    private final QueueingDelayTarget delayTarget;
    private final SlowStart slowStart;

    ConcurrencyLimiter(int groupSize, QueueingDelayTarget delayTarget, SlowStart slowStart) {
        this.groupSize = groupSize;
        this.delayTarget = delayTarget;
        this.slowStart = slowStart;
    }

    /** The in-flight limit of a newly listed upstream. */
    double firstLimit() {
        return Math.max(1, FIRST_TOTAL / groupSize);
    }

    /** Adjusts the limit to an answer. */
    void recordAnswer(
            UpstreamState upstream,
            RequestState request,
            Attempt attempt,
            long tookUs,
            long nowUs) {
        double waitUs = waitOf(upstream, request, tookUs, nowUs);
        adjust(upstream, attempt, waitUs, request.requestClass.latencyTargetUs(), nowUs);
    }

    /** Adjusts the limit to a missing answer: the request may still be queued or running there. */
    void recordNoAnswer(
            UpstreamState upstream,
            RequestState request,
            Attempt attempt,
            long tookUs,
            long nowUs) {
        double waitUs = tookUs - ownServiceTimeUs(request, upstream.minServiceTime);
        adjust(upstream, attempt, waitUs, request.requestClass.latencyTargetUs(), nowUs);
    }

    void recordRejection(UpstreamState upstream) {
        upstream.concurrencyLimit =
                Math.max(
                        LEAST_LIMIT,
                        Math.min(upstream.concurrencyLimit, upstream.inFlight + 1) * REJECTION_CUT);
    }

    private void adjust(
            UpstreamState upstream,
            Attempt attempt,
            double waitUs,
            long latencyTargetUs,
            long nowUs) {
        double targetUs = delayTarget.share() * latencyTargetUs;
        if (waitUs > targetUs) {
            if (attempt.sentAtUs >= upstream.limitCutAtUs) {
                double cut = Math.max(DEEPEST_CUT, Math.min(SMALLEST_CUT, targetUs / waitUs));
                upstream.concurrencyLimit = Math.max(LEAST_LIMIT, upstream.concurrencyLimit * cut);
                upstream.limitCutAtUs = nowUs;
            }
        } else if (attempt.isAtLimit) {
            upstream.concurrencyLimit +=
                    INCREASE * Math.min(upstream.concurrencyLimit, 1 / upstream.concurrencyLimit);
        }
    }

    /**
     * The queueing delay of an answer: the time beyond the minimum service time seen recently. The
     * reported service time is no substitute, because it rises with the load of an upstream that
     * slows down under load.
     */
    private static double waitOf(
            UpstreamState upstream, RequestState request, long tookUs, long nowUs) {
        boolean hinted = request.hasWorkHint();
        double reported = upstream.report == null ? Double.NaN : upstream.report.serviceTimeUs();
        double sample =
                hinted ? tookUs / request.cost : reported > 0 ? reported : upstream.answerTimeUs;
        double grown =
                upstream.minServiceTime
                        * Math.exp((nowUs - upstream.minServiceTimeAtUs) * MIN_SERVICE_TIME_GROWTH);
        upstream.minServiceTime = upstream.minServiceTime == 0 ? sample : Math.min(sample, grown);
        upstream.minServiceTimeAtUs = nowUs;
        return tookUs
                - (hinted
                        ? ownServiceTimeUs(request, upstream.minServiceTime)
                        : upstream.minServiceTime);
    }

    /** The service time of a request by its work hint, microseconds; 0 without a hint. */
    static double ownServiceTimeUs(RequestState request, double serviceTimePerWork) {
        return request.hasWorkHint() ? request.cost * serviceTimePerWork : 0;
    }

    /** Sends no further attempt to an upstream for a pause that depends on the last answer time. */
    void pauseAfter(UpstreamState upstream, long tookUs, long nowUs) {
        upstream.pausedUntilUs =
                Math.max(upstream.pausedUntilUs, nowUs + pauseUs(upstream, tookUs, nowUs));
    }

    /**
     * The pause that enforces an in-flight limit below 1 on average. With many balancers, one request
     * of each makes a long queue, so such a limit cannot be rounded up to 1. The limit is never
     * below a short queue divided among all balancers. The answer time that counts is bounded,
     * because the first answers of a starting balancer are slowed down by its own cold code.
     */
    private long pauseUs(UpstreamState upstream, long tookUs, long nowUs) {
        double limit =
                Math.max(
                        FIRST_TOTAL / groupSize,
                        upstream.concurrencyLimit * slowStart.factor(upstream, nowUs));
        if (limit >= 1) {
            return 0;
        }
        return (long)
                (Math.min(tookUs, delayTarget.tightestUs() / delayTarget.share() / 2)
                        * (1 / limit - 1));
    }

    /**
     * Whether one more request is within the limit, given the load of other balancers. Always false
     * during a pause.
     */
    boolean hasRoom(UpstreamState upstream, double loadOfOthers, long nowUs) {
        return nowUs >= upstream.pausedUntilUs
                && upstream.inFlight + loadOfOthers + 1
                        <= Math.max(
                                1, upstream.concurrencyLimit * slowStart.factor(upstream, nowUs));
    }

    /** Whether one more request would exceed the limit. */
    static boolean isAtLimit(UpstreamState upstream, double loadOfOthers) {
        return upstream.inFlight + loadOfOthers + 1 > upstream.concurrencyLimit;
    }
}
