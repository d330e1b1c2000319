package myrtleladder.loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * Each balancer uses a subset of a large fleet: the upstreams that rank lowest for it by rendezvous
 * hashing. With few requests a second it would know next to nothing of dozens of upstreams; of few
 * it can learn everything, and none needs a connection to everyone.
 */
final class RendezvousSubsetting {
    /** Balancers to an upstream; few enough to report to and to be connected. */
    static final int BALANCERS_PER_UPSTREAM = 12;

    /** Least upstreams in a subset; with one there is no pick. */
    static final int LEAST_UPSTREAMS = 2;

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
                        LEAST_UPSTREAMS,
                        Math.ceil((double) BALANCERS_PER_UPSTREAM * upstreams.size() / groupSize));
    }

    private int boundedSize() {
        return Math.min(size(), upstreams.size());
    }

    /** The subset as if no upstream were ejected; a view. */
    List<UpstreamState> withoutReplacements() {
        return upstreams.ranked().subList(0, boundedSize());
    }

    /**
     * The subset with a replacement for each ejected upstream; a view. The ejected stay in but do
     * not count, or nothing is left to ask when many fail.
     */
    List<UpstreamState> upstreams(long nowUs) {
        List<UpstreamState> ranked = upstreams.ranked();
        int size = 0;
        for (int left = size(); size < ranked.size() && left > 0; size++) {
            left -= ejection.isEjected(ranked.get(size), nowUs) ? 0 : 1;
        }
        return ranked.subList(0, size);
    }

    /** Whether so few of all upstreams are healthy that ejections are ignored. */
    boolean isPanic(long nowUs) {
        return ejection.isPanic(upstreams.ranked(), nowUs);
    }

    /** Whether that upstream is ejected; {@link #isPanic} says whether that is ignored. */
    boolean isEjected(UpstreamState upstream, long nowUs) {
        return ejection.isEjected(upstream, nowUs);
    }

    /** The other balancers that have an upstream in their subset, by position. */
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

    /** Counts no further than needed, or large groups burn CPU. */
    private boolean isInSubsetOf(int peer, UpstreamState upstream, int size) {
        long salt = UpstreamState.subsetSalt(peer);
        long rank = upstream.rankFor(salt);
        List<UpstreamState> ranked = upstreams.ranked();
        int before = 0;
        for (int i = 0; i < ranked.size() && before < size; i++) {
            before += ranked.get(i).rankFor(salt) < rank ? 1 : 0;
        }
        return before < size;
    }
}
