package myrtleladder.tally;

import java.util.Map;

/**
 * Figures by which operators tell what the tallies of one node do.
 *
 * @param isCaughtUp whether this process serves
 * @param tallies number of tallies that have additions
 * @param additions number of additions known, repeated ids included
 * @param unsynced number of those that are not on the disk
 * @param failedAppends how often the disk refused additions
 * @param waiting number of requests that wait until their addition is durable
 * @param acknowledged number of requests acknowledged since the start
 * @param uncertain number of requests answered without a promise since the start
 * @param refused number of requests refused since the start
 * @param reachabilityChanges how often a peer became reachable or unreachable since the start
 * @param peers the peers by their addresses
 */
public record TallyFigures(
        boolean isCaughtUp,
        int tallies,
        int additions,
        int unsynced,
        long failedAppends,
        int waiting,
        long acknowledged,
        long uncertain,
        long refused,
        long reachabilityChanges,
        Map<String, Peer> peers) {
    /**
     * Figures of a peer.
     *
     * @param reachability whether it answers
     * @param zone name of its zone
     * @param additionsItLacks additions of this node that it did not have when it told last
     * @param additionsLackedHere additions that it told of and that this node lacks
     */
    public record Peer(
            String reachability, String zone, long additionsItLacks, long additionsLackedHere) {}
}
