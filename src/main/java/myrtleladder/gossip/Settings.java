package myrtleladder.gossip;

/**
 * The figures of a fleet's membership; the same in all of its processes. Times are microseconds.
 *
 * @param fleet messages of a fleet with another name are refused
 * @param period between two probes of a process
 * @param ackAfter how long a direct probe may take before others are asked to probe
 * @param indirect how many others are asked
 * @param fanout members told of news in each period besides those probed
 * @param least shortest suspicion, in periods for each power of ten of members (SWIM, section 4.2)
 * @param most longest suspicion, as a multiple of the shortest (Lifeguard, section IV-B)
 * @param confirmations so many independent suspicions shorten one to its least
 * @param spread how often a piece of news is sent, for each power of ten of members
 * @param tombstone how long a member that is gone is remembered; longer than any message is late
 * @param members no more are taken in than this
 * @param bytes largest datagram
 */
public record Settings(
        String fleet,
        long period,
        long ackAfter,
        int indirect,
        int fanout,
        double least,
        double most,
        int confirmations,
        double spread,
        long tombstone,
        int members,
        int bytes) {

    /**
     * What holds unless it is configured otherwise: a crash is known within 3 s in a fleet of 20.
     */
    public static Settings of(String fleet) {
        return new Settings(fleet, 300_000, 100_000, 3, 2, 4, 6, 3, 4, 600_000_000L, 10_000, 1_400);
    }

    double powers(int members) {
        return Math.max(1, Math.log10(Math.max(1, members)));
    }
}
