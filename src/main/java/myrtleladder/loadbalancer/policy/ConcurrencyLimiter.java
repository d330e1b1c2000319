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
    static final double INITIAL_TOTAL_LIMIT = 3;

    /** Minimum in-flight limit, in requests. */
    private static final double MIN_LIMIT = 0.05;

    /** Factor on the limit for a delay just above the target. */
    private static final double MAX_CUT_FACTOR = 0.8;

    /** Minimum factor on the limit for a delay above the target. */
    private static final double MIN_CUT_FACTOR = 0.4;

    /** Factor on the limit after a rejection, which shows that the queue is full. */
    private static final double REJECTION_CUT_FACTOR = 0.7;

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
    double initialLimit() {
        return Math.max(1, INITIAL_TOTAL_LIMIT / groupSize);
    }

    /** Adjusts the limit to an answer. */
    void recordAnswer(
            UpstreamState upstream,
            RequestState request,
            Attempt attempt,
            long durationUs,
            long nowUs) {
        double queueingDelayUs = queueingDelayUs(upstream, request, durationUs, nowUs);
        adjust(upstream, attempt, queueingDelayUs, request.requestClass.latencyTargetUs(), nowUs);
    }

    /** Adjusts the limit to a missing answer: the request may still be queued or running there. */
    void recordNoAnswer(
            UpstreamState upstream,
            RequestState request,
            Attempt attempt,
            long durationUs,
            long nowUs) {
        double queueingDelayUs = durationUs - ownServiceTimeUs(request, upstream.minServiceTime);
        adjust(upstream, attempt, queueingDelayUs, request.requestClass.latencyTargetUs(), nowUs);
    }

    void recordRejection(UpstreamState upstream) {
        upstream.concurrencyLimit =
                Math.max(
                        MIN_LIMIT,
                        Math.min(upstream.concurrencyLimit, upstream.inFlight + 1)
                                * REJECTION_CUT_FACTOR);
    }

    private void adjust(
            UpstreamState upstream,
            Attempt attempt,
            double queueingDelayUs,
            long latencyTargetUs,
            long nowUs) {
        double targetUs = delayTarget.latencyTargetFraction() * latencyTargetUs;
        if (queueingDelayUs > targetUs) {
            if (attempt.sentAtUs >= upstream.lastLimitCutAtUs) {
                double cutFactor =
                        Math.max(
                                MIN_CUT_FACTOR,
                                Math.min(MAX_CUT_FACTOR, targetUs / queueingDelayUs));
                upstream.concurrencyLimit =
                        Math.max(MIN_LIMIT, upstream.concurrencyLimit * cutFactor);
                upstream.lastLimitCutAtUs = nowUs;
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
    private static double queueingDelayUs(
            UpstreamState upstream, RequestState request, long durationUs, long nowUs) {
        boolean hasHint = request.hasWorkHint();
        double reported =
                upstream.loadReport == null ? Double.NaN : upstream.loadReport.serviceTimeUs();
        double sample =
                hasHint
                        ? durationUs / request.cost
                        : reported > 0 ? reported : upstream.answerTimeUs;
        double grown =
                upstream.minServiceTime
                        * Math.exp((nowUs - upstream.minServiceTimeAtUs) * MIN_SERVICE_TIME_GROWTH);
        upstream.minServiceTime = upstream.minServiceTime == 0 ? sample : Math.min(sample, grown);
        upstream.minServiceTimeAtUs = nowUs;
        return durationUs
                - (hasHint
                        ? ownServiceTimeUs(request, upstream.minServiceTime)
                        : upstream.minServiceTime);
    }

    /** The service time of a request by its work hint, microseconds; 0 without a hint. */
    static double ownServiceTimeUs(RequestState request, double serviceTimePerWork) {
        return request.hasWorkHint() ? request.cost * serviceTimePerWork : 0;
    }

    /** Sends no further attempt to an upstream for a pause that depends on the last answer time. */
    void pauseAfter(UpstreamState upstream, long durationUs, long nowUs) {
        upstream.pausedUntilUs =
                Math.max(upstream.pausedUntilUs, nowUs + pauseUs(upstream, durationUs, nowUs));
    }

    /**
     * The pause that enforces an in-flight limit below 1 on average. With many balancers, one
     * request of each makes a long queue, so such a limit cannot be rounded up to 1. The limit is
     * never below a short queue divided among all balancers. The answer time that counts is
     * bounded, because the first answers of a starting balancer are slowed down by its own cold
     * code.
     */
    private long pauseUs(UpstreamState upstream, long durationUs, long nowUs) {
        double limit =
                Math.max(
                        INITIAL_TOTAL_LIMIT / groupSize,
                        upstream.concurrencyLimit * slowStart.capacityFraction(upstream, nowUs));
        if (limit >= 1) {
            return 0;
        }
        return (long)
                (Math.min(
                                durationUs,
                                delayTarget.tightestUs() / delayTarget.latencyTargetFraction() / 2)
                        * (1 / limit - 1));
    }

    /**
     * Whether one more request is within the limit, given the load of other balancers. Always false
     * during a pause.
     */
    boolean hasCapacity(UpstreamState upstream, double otherBalancersLoad, long nowUs) {
        return nowUs >= upstream.pausedUntilUs
                && upstream.inFlight + otherBalancersLoad + 1
                        <= Math.max(
                                1,
                                upstream.concurrencyLimit
                                        * slowStart.capacityFraction(upstream, nowUs));
    }

    /** Whether one more request would exceed the limit. */
    static boolean isAtLimit(UpstreamState upstream, double otherBalancersLoad) {
        return upstream.inFlight + otherBalancersLoad + 1 > upstream.concurrencyLimit;
    }
}
