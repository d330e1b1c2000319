package myrtleladder.loadbalancer.policy;

/**
 * How a balancer learns the load of an upstream over all balancers. If it does not, it relies on an
 * in-flight limit of its own.
 *
 * @param byPeers peers report their load in flight to each other: {@link PeerLoadExchange}
 * @param byProbes upstreams are probed before a pick: {@link OnDemandProber}
 */
record LoadVisibility(boolean byPeers, boolean byProbes) {
    /** Points of the score that load information may cost per request. */
    private static final double BUDGET_POINTS = 0.02;

    /** Minimum price of a probe, to avoid a division by 0. */
    private static final double MIN_PRICE = 1e-6;

    /** The price of a peer message is charged for each 256 bytes. */
    private static final int PRICE_UNIT_BYTES = 256;

    /** One message is sent at the send of an attempt and one at its end. */
    private static final double MESSAGES_PER_ATTEMPT = 2.0;

    static LoadVisibility of(Settings settings) {
        boolean byPeers =
                settings.limits().peerMessages()
                        && settings.groupSize() > 1
                        && MESSAGES_PER_ATTEMPT
                                        * RendezvousSubsetting.BALANCERS_PER_UPSTREAM
                                        * PeerLoadExchange.MESSAGE_BYTES
                                        / PRICE_UNIT_BYTES
                                        * settings.prices().peerMessage()
                                < BUDGET_POINTS;
        boolean byProbes =
                settings.limits().probing()
                        && settings.loadReportSource() == LoadReportSource.PROBES
                        && probesPerRequest(settings) > RendezvousSubsetting.MIN_SUBSET_SIZE
                        && settings.groupSize() > 1;
        return new LoadVisibility(byPeers, byProbes);
    }

    /** Probes that the budget allows per request. */
    static double probesPerRequest(Settings settings) {
        return BUDGET_POINTS / Math.max(settings.prices().probe(), MIN_PRICE);
    }

    /** Whether the load of other balancers is known. */
    boolean isComplete() {
        return byPeers || byProbes;
    }
}
