package myrtleladder.loadbalancer.policy;

/** Whether an upstream may get a request at all, room for it apart. */
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
     * Whether an upstream may get the request. Asking fills the slow-start bucket of a cold
     * upstream, so that the conditions keep their order.
     */
    boolean isEligible(UpstreamState upstream, RequestState request, long nowUs, boolean isPanic) {
        return retryPolicy.maySend(request, upstream, nowUs)
                && !request.isHedgedAwayFrom(upstream)
                && (isPanic || !ejection.isEjected(upstream, nowUs))
                && !prober.isUnresponsive(upstream, nowUs)
                && slowStart.hasRoom(upstream, nowUs);
    }
}
