package myrtleladder.gossip;

/**
 * A member update as SWIM gossips it (section 4.2): what one process reports about a member.
 *
 * <p>Updates on one name are totally ordered by {@link #supersedes}, and every process keeps the
 * greatest that it has received. So neither the order nor the number of arrivals matters.
 *
 * @param name of the member, unique in its fleet
 * @param startId random number drawn at each start of a process; tells a restarted process, or a
 *     second one that is configured with the same name, from the first
 * @param incarnation SWIM's incarnation number; raised by the member alone, to refute what others
 *     report about it
 * @param state of the member as reported
 * @param hasNameConflict whether the member has found another live process with its name
 * @param address host and port at which the member receives datagrams
 * @param reportedBy name of the member that made the report
 * @param metadata what the member publishes about itself
 */
public record MemberUpdate(
        String name,
        long startId,
        long incarnation,
        MemberState state,
        boolean hasNameConflict,
        String address,
        String reportedBy,
        MemberMetadata metadata) {

    /** Whether this replaces another update on the same name. */
    boolean supersedes(MemberUpdate other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        if (startId != other.startId) {
            return startId > other.startId;
        }
        return state.compareTo(other.state) > 0;
    }

    /** Whether both are about one incarnation of one process. */
    boolean hasSameIncarnation(MemberUpdate other) {
        return startId == other.startId && incarnation == other.incarnation;
    }

    /** The same incarnation in another state, as reported by {@code reporter}. */
    MemberUpdate withState(MemberState newState, String reporter) {
        return new MemberUpdate(
                name, startId, incarnation, newState, hasNameConflict, address, reporter, metadata);
    }

    /**
     * What the tables of two processes are compared by. The state is left out: a suspicion ends by
     * itself and is no lasting difference.
     */
    long hash() {
        // The mixing steps of SplitMix64; all builds of a fleet have to compute the same.
        long hash = name.hashCode() * 0x9E3779B97F4A7C15L ^ startId;
        hash = (hash ^ hash >>> 30) * 0xBF58476D1CE4E5B9L ^ incarnation;
        hash = (hash ^ hash >>> 27) * 0x94D049BB133111EBL;
        return hash ^ hash >>> 31;
    }
}
