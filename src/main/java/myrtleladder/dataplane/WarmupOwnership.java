package myrtleladder.dataplane;

import java.util.List;

/**
 * Ranks the balancers as owners of the warm-up budget of an upstream, by rendezvous hashing of
 * upstream and balancer over the primary's list of balancers. All balancers with the same list
 * agree on the ranks without exchanging messages, and adding or removing a balancer changes at most
 * one owner. Confined to the event loop.
 */
final class WarmupOwnership {
    private final String ownName;
    private final long ownHash;
    private long[] balancerHashes = {};
    private boolean isListed;
    private long changedAtMs;

    /** Creates an instance with an empty list; {@code ownName} is the name of this balancer. */
    WarmupOwnership(String ownName) {
        this.ownName = ownName;
        this.ownHash = StableHash.of(ownName);
    }

    /** Replaces the list of balancer names. */
    void setBalancers(List<String> names, long nowMs) {
        balancerHashes = names.stream().mapToLong(StableHash::of).toArray();
        isListed = names.contains(ownName);
        changedAtMs = nowMs;
    }

    /** Time of the last replacement of the list. */
    long changedAtMs() {
        return changedAtMs;
    }

    /** Number of listed balancers. */
    int balancerCount() {
        return balancerHashes.length;
    }

    /**
     * The rank of this balancer for an upstream, from 0. If this balancer is not listed, the rank
     * is the number of listed balancers, so that it owns no budget.
     */
    int rank(long upstreamHash) {
        if (!isListed) {
            return balancerHashes.length;
        }
        long ownScore = StableHash.mix(upstreamHash ^ ownHash);
        int rank = 0;
        for (long listed : balancerHashes) {
            rank += StableHash.mix(upstreamHash ^ listed) > ownScore ? 1 : 0;
        }
        return rank;
    }
}
