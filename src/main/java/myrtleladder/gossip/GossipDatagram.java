package myrtleladder.gossip;

import java.util.List;

/**
 * One datagram between two members. Whatever its kind, it carries the sender's update on itself,
 * the digest of the sender's member table, and further updates (SWIM, section 4.1: infection-style
 * dissemination on the messages of the failure detector).
 *
 * @param fleet name of the sender's fleet
 * @param kind what the receiver has to do
 * @param sender the sender's update on itself
 * @param sequenceNumber of the probe that it belongs to; 0 if it belongs to none
 * @param tableDigest digest of the sender's whole member table
 * @param probeTarget name of the member to probe for the sender ({@link Kind#PING_REQUEST}), else
 *     null
 * @param bucketDigests digests of the buckets of the sender's table ({@link Kind#DIGESTS}), else
 *     empty
 * @param requestedBuckets buckets whose updates the sender asks for in return, a bit for each
 * @param updates on any members
 */
record GossipDatagram(
        String fleet,
        Kind kind,
        MemberUpdate sender,
        long sequenceNumber,
        long tableDigest,
        String probeTarget,
        List<Long> bucketDigests,
        long requestedBuckets,
        List<MemberUpdate> updates) {
    /** Version of the format, sent in each datagram; any other is rejected. */
    static final int VERSION = 1;

    /** What a datagram is for. */
    enum Kind {
        /** A probe: the receiver answers with an {@link #ACK}. */
        PING("PING"),
        /** The answer to a probe. */
        ACK("ACK"),
        /** Asks the receiver to probe another member (SWIM's ping-req). */
        PING_REQUEST("ASK"),
        /** The member probed for the receiver has not answered so far (Lifeguard). */
        NACK("NACK"),
        /** Carries updates and nothing else. */
        GOSSIP("NEWS"),
        /** The digests of all buckets of a member table (anti-entropy). */
        DIGESTS("PARTS"),
        /** All updates of the buckets that differ (anti-entropy). */
        UPDATES("CLAIMS");

        private static final Kind[] KINDS = values();

        private final String wireName;

        Kind(String wireName) {
            this.wireName = wireName;
        }

        /** The name in datagrams, which stays when the constant is renamed. */
        String wireName() {
            return wireName;
        }

        /**
         * The kind with a name in datagrams.
         *
         * @throws IllegalArgumentException if there is none
         */
        static Kind ofWireName(String wireName) {
            for (Kind kind : KINDS) {
                if (kind.wireName.equals(wireName)) {
                    return kind;
                }
            }
            throw new IllegalArgumentException("unknown kind of datagram: " + wireName);
        }
    }

    /** The same with other updates. */
    GossipDatagram withUpdates(List<MemberUpdate> otherUpdates) {
        return new GossipDatagram(
                fleet,
                kind,
                sender,
                sequenceNumber,
                tableDigest,
                probeTarget,
                bucketDigests,
                requestedBuckets,
                otherUpdates);
    }
}
