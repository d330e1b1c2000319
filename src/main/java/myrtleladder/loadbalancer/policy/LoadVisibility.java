package myrtleladder.loadbalancer.policy;

/**
 * How a balancer learns the complete load of an upstream, other balancers' included. With neither
 * way it relies on an in-flight limit of its own.
 *
 * @param byPeers peers report their in-flight to each other: {@link PeerLoadExchange}
 * @param byProbes upstreams are probed before a pick: {@link OnDemandProber}
 */
record LoadVisibility(boolean byPeers, boolean byProbes) {
    /** Points of the result that load information may cost for each request. */
    private static final double BUDGET_POINTS = 0.02;

    /** Stands for a price of 0 when dividing by it. */
    private static final double LEAST_PRICE = 1e-6;

    /** Bytes that a peer message is priced by; observed: the price is for each 256 bytes. */
    private static final int PRICED_BYTES = 256;

    /** Messages are sent once at the send of an attempt and once at its end. */
    private static final double MESSAGES_PER_ATTEMPT = 2.0;

    static LoadVisibility of(Settings settings) {
        boolean byPeers =
                settings.limits().peers()
                        && settings.groupSize() > 1
                        && MESSAGES_PER_ATTEMPT
                                        * RendezvousSubsetting.BALANCERS_PER_UPSTREAM
                                        * PeerLoadExchange.MESSAGE_BYTES
                                        / PRICED_BYTES
                                        * settings.prices().peer()
                                < BUDGET_POINTS;
        boolean byProbes =
                settings.limits().probes()
                        && settings.reports() == Reports.BY_PROBE
                        && probesPerRequest(settings) > RendezvousSubsetting.LEAST_UPSTREAMS
                        && settings.groupSize() > 1;
        return new LoadVisibility(byPeers, byProbes);
    }

    /** Probes that the budget allows for each request. */
    static double probesPerRequest(Settings settings) {
        return BUDGET_POINTS / Math.max(settings.prices().probe(), LEAST_PRICE);
    }

    /** Whether the load of other balancers is known. */
    boolean isComplete() {
        return byPeers || byProbes;
    }
}
