package myrtleladder.loadbalancer.policy;

/**
 * An in-flight limit for each upstream by additive increase and multiplicative decrease (AIMD) on
 * the waiting seen in its answers. Only answers move the limit, with one cut at most for each round
 * of sends, or one slow answer would close it.
 */
final class ConcurrencyLimiter {
    /** In flight by all balancers before anything is known, in requests; a short queue. */
    static final double FIRST_TOTAL = 3;

    /** Lower bound of the in-flight limit, in requests. */
    private static final double LEAST_LIMIT = 0.05;

    /** Factor of the smallest cut on too long a wait. */
    private static final double SMALLEST_CUT = 0.8;

    /** Factor of the deepest cut on too long a wait. */
    private static final double DEEPEST_CUT = 0.4;

    /** Factor of the cut on a rejection; a full queue is plain. */
    private static final double REJECTION_CUT = 0.7;

    /** Increase for a round of answers in time, in requests. */
    private static final double INCREASE = 0.3;

    /** Growth of the least service time, log per microsecond; doubles in half a minute. */
    private static final double MIN_SERVICE_TIME_GROWTH = Math.log(2) / 30e6;

    private final int groupSize;
    private final QueueingDelayTarget delayTarget;
    private final SlowStart slowStart;

    ConcurrencyLimiter(int groupSize, QueueingDelayTarget delayTarget, SlowStart slowStart) {
        this.groupSize = groupSize;
        this.delayTarget = delayTarget;
        this.slowStart = slowStart;
    }

    /** The limit of a newly listed upstream. */
    double firstLimit() {
        return Math.max(1, FIRST_TOTAL / groupSize);
    }

    /** An attempt was answered. */
    void recordAnswer(
            UpstreamState upstream,
            RequestState request,
            Attempt attempt,
            long tookUs,
            long nowUs) {
        double waitUs = waitOf(upstream, request, tookUs, nowUs);
        adjust(upstream, attempt, waitUs, request.requestClass.latencyTargetUs(), nowUs);
    }

    /** No answer is the longest waiting there is; the work may still run there. */
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
     * What of an answer's time was waiting: all beyond the least service time seen lately. The
     * reported service time will not do: it rises with the load of an upstream that slows down when
     * crowded.
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

    /** The service time of a hinted request at a time for each unit of work; 0 without a hint. */
    static double ownServiceTimeUs(RequestState request, double serviceTimePerWork) {
        return request.hasWorkHint() ? request.cost * serviceTimePerWork : 0;
    }

    /** Lets no attempt follow for a pause after one that took so long. */
    void pauseAfter(UpstreamState upstream, long tookUs, long nowUs) {
        upstream.pausedUntilUs =
                Math.max(upstream.pausedUntilUs, nowUs + pauseUs(upstream, tookUs, nowUs));
    }

    /**
     * The pause that makes an in-flight limit under 1 true on average. With many balancers one
     * request of each is a long queue, and taken as 1 such a limit shortened it no further. A short
     * queue by all together is always left. The time is bounded: a starting balancer's first
     * answers wait for its own cold code.
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

    /** Whether one more fits under the limit with so many of others in flight. */
    boolean hasRoom(UpstreamState upstream, double loadOfOthers, long nowUs) {
        return nowUs >= upstream.pausedUntilUs
                && upstream.inFlight + loadOfOthers + 1
                        <= Math.max(
                                1, upstream.concurrencyLimit * slowStart.factor(upstream, nowUs));
    }

    /** Whether one more would be above the limit. */
    static boolean isAtLimit(UpstreamState upstream, double loadOfOthers) {
        return upstream.inFlight + loadOfOthers + 1 > upstream.concurrencyLimit;
    }
}
