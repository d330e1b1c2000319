package myrtleladder.replication;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import myrtleladder.protocol.Member;

/**
 * The configuration of a replica.
 *
 * @param self the addresses of this node; its store id is ignored, as the storage determines it
 * @param toleratedFailures the number of members that may fail at the same time
 * @param bootstrap whether this is the first start of the system, so that the seeds form the group
 * @param seeds the nodes to contact first
 * @param catchUpMs the time within which a machine that returns has to be a member again
 */
public record ReplicaOptions(
        Member self, int toleratedFailures, boolean bootstrap, List<Member> seeds, long catchUpMs) {
    /** Fraction of the catch-up time after which a member has timed out. */
    private static final double MEMBER_TIMEOUT_FRACTION = 0.375;

    /** Lower bound of the member timeout. */
    private static final long MINIMUM_MEMBER_TIMEOUT_MS = 800;

    /** Upper bound of the member timeout. */
    private static final long MAXIMUM_MEMBER_TIMEOUT_MS = 3_000;

    /** Returns the number of replicas that save a change before it is acknowledged. */
    public int replicaCount() {
        return toleratedFailures + 1;
    }

    /**
     * Returns the size of the smallest group that keeps a majority when the tolerated number of
     * members fails.
     */
    public int minimumGroupSize() {
        return 2 * toleratedFailures + 1;
    }

    /**
     * Returns the time without contact after which a member may be removed from the group. It is
     * well below the catch-up time, except for catch-up times near {@link
     * #MINIMUM_MEMBER_TIMEOUT_MS}.
     */
    public long memberTimeoutMs() {
        long timeoutMs = Math.round(catchUpMs * MEMBER_TIMEOUT_FRACTION);
        return Math.max(MINIMUM_MEMBER_TIMEOUT_MS, Math.min(MAXIMUM_MEMBER_TIMEOUT_MS, timeoutMs));
    }

    /** Returns the addresses of the seeds. */
    Set<String> seedAddresses() {
        return seeds.stream().map(seed -> seed.address).collect(Collectors.toSet());
    }
}
