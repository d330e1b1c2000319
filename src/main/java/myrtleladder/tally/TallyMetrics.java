package myrtleladder.tally;

import java.util.Map;

/**
 * Metrics of the tallies on one node, for operators.
 *
 * @param isCaughtUp whether this process has caught up and serves requests
 * @param tallies number of tallies that have additions
 * @param additions number of known additions, including those that repeat an id
 * @param unsynced number of known additions that are not on the disk yet
 * @param failedAppends number of failed appends to the disk
 * @param pending number of requests that wait until their addition is durable
 * @param acknowledged number of requests acknowledged since the start
 * @param uncertain number of requests that completed as {@link AdditionResult#UNCERTAIN} since the
 *     start
 * @param refused number of requests rejected since the start
 * @param reachabilityChanges how often a peer became reachable or unreachable since the start
 * @param peers the metrics of each peer, by address
 */
public record TallyMetrics(
        boolean isCaughtUp,
        int tallies,
        int additions,
        int unsynced,
        long failedAppends,
        int pending,
        long acknowledged,
        long uncertain,
        long refused,
        long reachabilityChanges,
        Map<String, Peer> peers) {
    /**
     * Metrics of a peer.
     *
     * @param reachability name of its reachability state
     * @param zone name of its zone
     * @param additionsMissingAtPeer number of this node's additions that the peer lacked when it
     *     last reported
     * @param additionsMissingHere number of additions that the peer reported and this node lacks
     */
    public record Peer(
            String reachability,
            String zone,
            long additionsMissingAtPeer,
            long additionsMissingHere) {}
}
