package myrtleladder.gossip;

/**
 * Parameters of a fleet's membership, the same in all of its processes. Times are in microseconds.
 *
 * @param fleet name of the fleet; datagrams of another one are rejected
 * @param protocolPeriodUs time between two probes of a process (SWIM's protocol period T')
 * @param ackTimeoutUs how long a direct probe may take before others are asked to probe
 * @param indirectProbes how many others are asked (SWIM's k)
 * @param gossipFanout members that are sent updates in each period besides those probed
 * @param suspicionMinPeriods shortest suspicion, in periods for each power of ten of members (SWIM,
 *     section 4.2)
 * @param suspicionMaxMultiplier longest suspicion, as a multiple of the shortest (Lifeguard,
 *     section IV-B)
 * @param suspicionConfirmations independent suspicions that shorten one to its minimum (Lifeguard's
 *     K)
 * @param retransmitMultiplier how often an update is sent, for each power of ten of members (SWIM,
 *     section 4.1)
 * @param tombstoneTtlUs how long a member that is gone is remembered; longer than any datagram is
 *     late
 * @param maxMembers names that the table takes in
 * @param maxDatagramBytes size of the largest datagram
 */
public record GossipSettings(
        String fleet,
        long protocolPeriodUs,
        long ackTimeoutUs,
        int indirectProbes,
        int gossipFanout,
        double suspicionMinPeriods,
        double suspicionMaxMultiplier,
        int suspicionConfirmations,
        double retransmitMultiplier,
        long tombstoneTtlUs,
        int maxMembers,
        int maxDatagramBytes) {

    /** Set so that a crash is known within 3 s in a fleet of 20 (docs/membership.md). */
    private static final long DEFAULT_PROTOCOL_PERIOD_US = 300_000;

    /** A third of the period leaves time for the indirect probes. */
    private static final long DEFAULT_ACK_TIMEOUT_US = 100_000;

    /** Default of {@code indirectProbes}. */
    private static final int DEFAULT_INDIRECT_PROBES = 3;

    /** Default of {@code gossipFanout}. */
    private static final int DEFAULT_GOSSIP_FANOUT = 2;

    /** Default of the shortest suspicion, in protocol periods. */
    private static final double DEFAULT_SUSPICION_MIN_PERIODS = 4;

    /** Default of the longest suspicion, as a multiple of the shortest. */
    private static final double DEFAULT_SUSPICION_MAX_MULTIPLIER = 6;

    /** Default number of confirmations that shorten a suspicion. */
    private static final int DEFAULT_SUSPICION_CONFIRMATIONS = 3;

    /** Default of the retransmissions, as a multiple of the logarithm of the size. */
    private static final double DEFAULT_RETRANSMIT_MULTIPLIER = 4;

    /** 10 minutes are longer than any datagram is late. */
    private static final long DEFAULT_TOMBSTONE_TTL_US = 600_000_000;

    /** Bounds memory. */
    private static final int DEFAULT_MAX_MEMBERS = 10_000;

    /** Default of the largest datagram, in bytes. */
    private static final int DEFAULT_MAX_DATAGRAM_BYTES = 1_400;

    /** The defaults for a fleet. */
    public static GossipSettings of(String fleet) {
        return new GossipSettings(
                fleet,
                DEFAULT_PROTOCOL_PERIOD_US,
                DEFAULT_ACK_TIMEOUT_US,
                DEFAULT_INDIRECT_PROBES,
                DEFAULT_GOSSIP_FANOUT,
                DEFAULT_SUSPICION_MIN_PERIODS,
                DEFAULT_SUSPICION_MAX_MULTIPLIER,
                DEFAULT_SUSPICION_CONFIRMATIONS,
                DEFAULT_RETRANSMIT_MULTIPLIER,
                DEFAULT_TOMBSTONE_TTL_US,
                DEFAULT_MAX_MEMBERS,
                DEFAULT_MAX_DATAGRAM_BYTES);
    }

    /** How often one update is sent in a table of so many members. */
    int retransmits(int memberCount) {
        return (int) Math.ceil(retransmitMultiplier * logScale(memberCount));
    }

    /** Shortest suspicion among so many members, in microseconds. */
    long minSuspicionUs(int memberCount) {
        return (long) (suspicionMinPeriods * logScale(memberCount) * protocolPeriodUs);
    }

    /** Longest suspicion for a shortest one, both in microseconds. */
    long maxSuspicionUs(long minSuspicionUs) {
        return (long) (minSuspicionUs * suspicionMaxMultiplier);
    }

    /** Powers of ten of the number of members, at least 1. */
    private static double logScale(int memberCount) {
        return Math.max(1, Math.log10(Math.max(1, memberCount)));
    }
}
