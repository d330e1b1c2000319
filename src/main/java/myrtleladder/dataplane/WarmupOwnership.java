package myrtleladder.dataplane;

import java.util.List;

/**
 * The order in which the balancers own the budget of a cold upstream, by rendezvous hashing of
 * upstream and balancer over the primary's list: all balancers with the same list agree on it
 * without a message, and a balancer more or less changes one owner at most. Confined to the event
 * loop.
 */
final class WarmupOwnership {
    private final String balancer;
    private final long balancerHash;
    private long[] listHashes = {};
    private boolean isListed;
    private long changedAtMs;

    /** Creates the order of an empty list; {@code balancer} is the name of this one. */
    WarmupOwnership(String balancer) {
        this.balancer = balancer;
        this.balancerHash = StableHash.of(balancer);
    }

    /** Replaces the list of the names of all balancers. */
    void setBalancers(List<String> names, long nowMs) {
        listHashes = names.stream().mapToLong(StableHash::of).toArray();
        isListed = names.contains(balancer);
        changedAtMs = nowMs;
    }

    /** When the list was replaced last. */
    long changedAtMs() {
        return changedAtMs;
    }

    /** The number of balancers on the list. */
    int balancers() {
        return listHashes.length;
    }

    /** The place of this balancer for an upstream, from 0; behind all if it is not listed. */
    int rank(long upstreamHash) {
        if (!isListed) {
            return listHashes.length;
        }
        long own = StableHash.mix(upstreamHash ^ balancerHash);
        int rank = 0;
        for (long listed : listHashes) {
            rank += StableHash.mix(upstreamHash ^ listed) > own ? 1 : 0;
        }
        return rank;
    }
}
