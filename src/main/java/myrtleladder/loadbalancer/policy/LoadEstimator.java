package myrtleladder.loadbalancer.policy;

/** Estimates what is in flight at an upstream, in mean requests. */
final class LoadEstimator {
    private final RequestStatistics statistics;

    /** A peer's message counts for so long: twice the tightest latency target. */
    private final double peerLoadLifetimeUs;

    LoadEstimator(RequestStatistics statistics, QueueingDelayTarget delayTarget) {
        this.statistics = statistics;
        this.peerLoadLifetimeUs = 2 * delayTarget.tightestUs() / delayTarget.share();
    }

    /** The size of a request, in mean requests; 1 without a hint. */
    double sizeOf(RequestState request) {
        return request.hasWorkHint() ? request.cost / Math.max(statistics.meanCost(), 1) : 1;
    }

    /**
     * What this balancer has in flight, half by count and half by hinted work in mean requests: one
     * heavy request holds up many.
     */
    double ownLoad(UpstreamState upstream) {
        double size = Math.max(0, upstream.workInFlight) / Math.max(statistics.meanCost(), 1);
        return (upstream.inFlight + size) / 2;
    }

    /** What other balancers have in flight, by their messages or by what was last seen of it. */
    double loadOfOthers(UpstreamState upstream, long nowUs) {
        double seen =
                upstream.othersInFlight > 0
                        ? upstream.othersInFlight
                                - (nowUs - upstream.othersSeenAtUs) / Math.max(1, upstream.paceUs)
                        : 0;
        double reported = 0;
        for (PeerLoad load : upstream.peerLoads.values()) {
            reported +=
                    nowUs - load.atUs() < peerLoadLifetimeUs
                            ? load.units() / PeerLoadExchange.UNITS_PER_REQUEST
                            : 0;
        }
        return Math.max(Math.max(0, seen), reported);
    }
}
