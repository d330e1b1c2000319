package myrtleladder.consensus;

import java.util.List;

/**
 * Settings of the consensus protocol; the same in all processes of a cluster.
 *
 * @param fleet name of the cluster; messages of another one are dropped
 * @param council names of the voting members; a majority of these names is a quorum
 * @param heartbeatIntervalUs time between two messages of a leader to each peer
 * @param electionTimeoutUs time without a leader after which a node starts a pre-vote; a random
 *     time of up to as much again is added
 * @param viewStabilityUs how long a membership change has to be observed before it is proposed
 * @param bootstrapDelayUs how long a new process waits before it supports a bootstrap, so that
 *     processes with a longer log are heard first
 * @param retainedLogEntries entries kept in the log; a peer that lags further gets a snapshot
 * @param maxDatagramBytes size of the largest datagram
 */
public record ConsensusSettings(
        String fleet,
        List<String> council,
        long heartbeatIntervalUs,
        long electionTimeoutUs,
        long viewStabilityUs,
        long bootstrapDelayUs,
        int retainedLogEntries,
        int maxDatagramBytes) {
    /** Part of a datagram that a command leaves to the entry and the message. */
    static final int COMMAND_OVERHEAD_BYTES = 500;

    /**
     * Most voting members; a bootstrap names all of them in one datagram, and more than nine votes
     * add no safety.
     */
    static final int MAX_COUNCIL_SIZE = 9;

    /** Default of {@code heartbeatIntervalUs}. */
    private static final long DEFAULT_HEARTBEAT_INTERVAL_US = 200_000;

    /** Default of {@code electionTimeoutUs}, so that a leader is replaced within 3 s. */
    private static final long DEFAULT_ELECTION_TIMEOUT_US = 800_000;

    /** Default of {@code viewStabilityUs}. */
    private static final long DEFAULT_VIEW_STABILITY_US = 3_000_000;

    /** Default of {@code bootstrapDelayUs}. */
    private static final long DEFAULT_BOOTSTRAP_DELAY_US = 3_000_000;

    /** Default of {@code retainedLogEntries}. */
    private static final int DEFAULT_RETAINED_LOG_ENTRIES = 256;

    /** Default of {@code maxDatagramBytes}. */
    private static final int DEFAULT_MAX_DATAGRAM_BYTES = 1_400;

    /**
     * Checks the council.
     *
     * @throws IllegalArgumentException if it is empty, too large or names a member twice
     */
    public ConsensusSettings {
        council = List.copyOf(council);
        if (council.isEmpty()
                || council.size() > MAX_COUNCIL_SIZE
                || council.stream().distinct().count() != council.size()) {
            throw new IllegalArgumentException(
                    "council of a fleet has 1 to "
                            + MAX_COUNCIL_SIZE
                            + " names, each once: "
                            + council);
        }
    }

    /** The default settings. */
    public static ConsensusSettings of(String fleet, List<String> council) {
        return new ConsensusSettings(
                fleet,
                council,
                DEFAULT_HEARTBEAT_INTERVAL_US,
                DEFAULT_ELECTION_TIMEOUT_US,
                DEFAULT_VIEW_STABILITY_US,
                DEFAULT_BOOTSTRAP_DELAY_US,
                DEFAULT_RETAINED_LOG_ENTRIES,
                DEFAULT_MAX_DATAGRAM_BYTES);
    }

    /** How many voting members are a majority. */
    public int quorumSize() {
        return council.size() / 2 + 1;
    }

    /** Whether a member of that name has a vote once a view contains it. */
    boolean isCouncilMember(String name) {
        return council.contains(name);
    }

    /**
     * How many names of the council have to be held by processes that never had a vote, so that the
     * others can't be a majority of an earlier view.
     */
    int bootstrapThreshold() {
        return council.size() - quorumSize() + 1;
    }

    int maxCommandBytes() {
        return maxDatagramBytes - COMMAND_OVERHEAD_BYTES;
    }
}
