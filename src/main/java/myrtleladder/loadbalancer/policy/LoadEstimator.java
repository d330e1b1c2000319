package myrtleladder.loadbalancer.policy;

/** Estimates the load in flight at an upstream, in mean requests. */
final class LoadEstimator {
    private final RequestStatistics statistics;

    /** Time for which a peer's message is valid: twice the tightest latency target. */
    private final double peerLoadLifetimeUs;

    LoadEstimator(RequestStatistics statistics, QueueingDelayTarget delayTarget) {
        this.statistics = statistics;
        this.peerLoadLifetimeUs =
                2 * delayTarget.tightestUs() / delayTarget.latencyTargetFraction();
    }

    /** The cost of a request, in mean requests; 1 without a work hint. */
    double relativeCost(RequestState request) {
        return request.hasWorkHint() ? request.cost / Math.max(statistics.meanCost(), 1) : 1;
    }

    /**
     * The load of this balancer: the average of the number of its requests in flight and of their
     * cost in mean requests, because one expensive request delays many others.
     */
    double ownLoad(UpstreamState upstream) {
        double meanRequests =
                Math.max(0, upstream.workInFlight) / Math.max(statistics.meanCost(), 1);
        return (upstream.inFlight + meanRequests) / 2;
    }

    /**
     * The load of the other balancers, by their messages or by the last observation, which
     * decreases with time as the upstream works through its queue.
     */
    double otherBalancersLoad(UpstreamState upstream, long nowUs) {
        double observed =
                upstream.otherBalancersInFlight > 0
                        ? upstream.otherBalancersInFlight
                                - (nowUs - upstream.otherBalancersSeenAtUs)
                                        / Math.max(1, upstream.delayPerRequestUs)
                        : 0;
        double reported = 0;
        for (PeerLoad load : upstream.peerLoads.values()) {
            reported +=
                    nowUs - load.atUs() < peerLoadLifetimeUs
                            ? load.units() / PeerLoadExchange.UNITS_PER_REQUEST
                            : 0;
        }
        return Math.max(Math.max(0, observed), reported);
    }
}
