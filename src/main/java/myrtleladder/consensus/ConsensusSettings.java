package myrtleladder.consensus;

import java.util.List;

/**
 * The figures of an agreement; the same in all processes of a fleet. Times are microseconds.
 *
 * @param fleet messages of a fleet with another name are refused
 * @param council names of those whose lives have a vote; a majority of these names decides
 * @param beat between two messages of a leader
 * @param patience so long nothing is heard of a leader before another is sought; by chance up to
 *     twice that
 * @param stable so long a change has to be seen in the same way before it is proposed
 * @param settling so long a new life waits before it helps to found: who knows more is to be heard
 *     first
 * @param kept entries that are kept for those who lag; who lags further gets a snapshot
 * @param bytes largest datagram
 */
public record ConsensusSettings(
        String fleet,
        List<String> council,
        long beat,
        long patience,
        long stable,
        long settling,
        int kept,
        int bytes) {
    /** Commands have to fit into a datagram with an entry's own fields. */
    static final int ROOM = 500;

    /** A founding names all founders in one datagram; more than nine votes make nothing safer. */
    static final int MOST = 9;

    /** Refuses a council that decides nothing, by name. */
    public ConsensusSettings {
        council = List.copyOf(council);
        if (council.isEmpty()
                || council.size() > MOST
                || council.stream().distinct().count() != council.size()) {
            throw new IllegalArgumentException(
                    "council of a fleet has 1 to " + MOST + " names, each once: " + council);
        }
    }

    /** What holds unless it is configured otherwise: a leader that died is replaced within 3 s. */
    public static ConsensusSettings of(String fleet, List<String> council) {
        return new ConsensusSettings(
                fleet, council, 200_000, 800_000, 3_000_000, 3_000_000, 256, 1_400);
    }

    /** So many names decide. */
    public int quorum() {
        return council.size() / 2 + 1;
    }

    /**
     * With so many names held by lives that never had a vote, an earlier founding decides nothing
     * more.
     */
    int bereft() {
        return council.size() - quorum() + 1;
    }

    int longestCommand() {
        return bytes - ROOM;
    }
}
