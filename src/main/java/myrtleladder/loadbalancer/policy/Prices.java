package myrtleladder.loadbalancer.policy;

/**
 * What actions cost, in points of the score, for each unit of the action. All are at least 0.
 *
 * @param crossZone a request sent to another zone
 * @param wastedWork the setting {@code waste}; no decision depends on it
 * @param probe a probe
 * @param peerMessage a message to a peer, for each 256 bytes
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
