package myrtleladder.gossip;

import java.util.List;

/**
 * One datagram between two processes. Whatever it is about, it carries the sender's claim on
 * itself, the digest of the sender's picture, and news.
 *
 * @param number of the probe that it belongs to; 0 if it belongs to none
 * @param target whom to probe for the sender ({@link Kind#ASK} alone), else null
 * @param digests of the parts of the sender's picture ({@link Kind#PARTS}), else empty
 * @param wanted the parts whose claims the sender asks for in return, a bit for each
 */
record Message(
        String fleet,
        Kind kind,
        Claim me,
        long number,
        long digest,
        String target,
        List<Long> digests,
        long wanted,
        List<Claim> news) {
    /** The format, told in each message; another one is refused. */
    static final int VERSION = 1;

    /** What it is about. */
    enum Kind {
        /** A probe. */
        PING,
        /** The answer to one. */
        ACK,
        /** A request to probe somebody else. */
        ASK,
        /** Whoever was to be probed for the receiver has not answered so far. */
        NACK,
        /** News alone. */
        NEWS,
        /** The digests of the parts of a picture. */
        PARTS,
        /** Claims of parts that differ. */
        CLAIMS
    }
}
