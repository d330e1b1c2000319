package myrtleladder.loadbalancer.policy;

/** Decides whether an upstream may get a request, regardless of its load. */
final class UpstreamEligibility {
    private final RendezvousSubsetting subsetting;
    private final OutlierEjection ejection;
    private final RetryPolicy retryPolicy;
    private final OnDemandProber prober;
    private final SlowStart slowStart;

    UpstreamEligibility(
            RendezvousSubsetting subsetting,
            OutlierEjection ejection,
            RetryPolicy retryPolicy,
            OnDemandProber prober,
            SlowStart slowStart) {
        this.subsetting = subsetting;
        this.ejection = ejection;
        this.retryPolicy = retryPolicy;
        this.prober = prober;
        this.slowStart = slowStart;
    }

    /** Whether so few upstreams are healthy that ejections are ignored. */
    boolean isPanic(long nowUs) {
        return subsetting.isPanic(nowUs);
    }

    /**
     * Whether an upstream may get the request. The order of the conditions matters, because the
     * last one refills the slow-start token bucket of a cold upstream.
     */
    boolean isEligible(UpstreamState upstream, RequestState request, long nowUs, boolean isPanic) {
        return retryPolicy.maySend(request, upstream, nowUs)
                && !request.wasHedgedAt(upstream)
                && (isPanic || !ejection.isEjected(upstream, nowUs))
                && !prober.isUnresponsive(upstream, nowUs)
                && slowStart.hasBudget(upstream, nowUs);
    }
}
