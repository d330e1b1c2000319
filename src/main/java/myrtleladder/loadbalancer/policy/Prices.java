package myrtleladder.loadbalancer.policy;

/**
 * Prices of a balancer's actions, in points of the score. All are at least 0.
 *
 * @param crossZone price of a request sent to another zone
 * @param wastedWork the setting {@code waste}; no decision depends on it
 * @param probe price of a probe
 * @param peerMessage price of each 256 bytes of messages to peers
 * @param lateFailure the setting {@code late-fail}; no decision depends on it
 * @param handshake the setting {@code handshake}; no decision depends on it
 */
public record Prices(
        double crossZone,
        double wastedWork,
        double probe,
        double peerMessage,
        double lateFailure,
        double handshake) {}
