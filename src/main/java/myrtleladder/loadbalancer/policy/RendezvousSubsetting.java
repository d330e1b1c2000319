package myrtleladder.loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * Selects the subset of a large fleet that a balancer uses: the upstreams that rank lowest for it
 * by rendezvous hashing. With few requests per second, a balancer learns too little about dozens of
 * upstreams but enough about a few. It also avoids a connection between each balancer and each
 * upstream.
 */
final class RendezvousSubsetting {
    /** Balancers that share an upstream; few enough to send load reports to all of them. */
    static final int BALANCERS_PER_UPSTREAM = 12;

    /** Minimum size of a subset; with 1 there would be no choice. */
    static final int MIN_SUBSET_SIZE = 2;

    private final int groupSize;
    private final int position;
    private final UpstreamTable upstreams;
    private final OutlierEjection ejection;

    RendezvousSubsetting(Settings settings, UpstreamTable upstreams, OutlierEjection ejection) {
        this.groupSize = settings.groupSize();
        this.position = settings.position();
        this.upstreams = upstreams;
        this.ejection = ejection;
    }

    private int size() {
        return (int)
                Math.max(
                        MIN_SUBSET_SIZE,
                        Math.ceil((double) BALANCERS_PER_UPSTREAM * upstreams.size() / groupSize));
    }

    private int boundedSize() {
        return Math.min(size(), upstreams.size());
    }

    /** The subset without replacements for ejected upstreams; a view. */
    List<UpstreamState> withoutReplacements() {
        return upstreams.ranked().subList(0, boundedSize());
    }

    /**
     * The subset with a replacement for each ejected upstream; a view. Ejected upstreams stay in it
     * without being counted. Otherwise no candidates would be left when many fail.
     */
    List<UpstreamState> upstreams(long nowUs) {
        List<UpstreamState> ranked = upstreams.ranked();
        int size = 0;
        for (int remaining = size(); size < ranked.size() && remaining > 0; size++) {
            remaining -= ejection.isEjected(ranked.get(size), nowUs) ? 0 : 1;
        }
        return ranked.subList(0, size);
    }

    /** Whether so few of all listed upstreams are healthy that ejections are ignored. */
    boolean isPanic(long nowUs) {
        return ejection.isPanic(upstreams.ranked(), nowUs);
    }

    /** Whether that upstream is ejected; ignored if {@link #isPanic}. */
    boolean isEjected(UpstreamState upstream, long nowUs) {
        return ejection.isEjected(upstream, nowUs);
    }

    /** The positions of the other balancers that have an upstream in their subset. */
    List<Integer> peersSharing(UpstreamState upstream) {
        List<Integer> peers = new ArrayList<>();
        int size = boundedSize();
        for (int peer = 0; peer < groupSize; peer++) {
            if (isInSubsetOf(peer, upstream, size) && peer != position) {
                peers.add(peer);
            }
        }
        return peers;
    }

    /** Stops counting as soon as the result is known, which saves CPU in large groups. */
    private boolean isInSubsetOf(int peer, UpstreamState upstream, int size) {
        long salt = UpstreamState.subsetSalt(peer);
        long rank = upstream.rankFor(salt);
        List<UpstreamState> ranked = upstreams.ranked();
        int lowerRanked = 0;
        for (int i = 0; i < ranked.size() && lowerRanked < size; i++) {
            lowerRanked += ranked.get(i).rankFor(salt) < rank ? 1 : 0;
        }
        return lowerRanked < size;
    }
}
