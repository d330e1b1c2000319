package myrtleladder.consensus;

import java.util.List;
import java.util.Map;

/**
 * The fields that all messages share on the wire; what they mean depends on the kind, see the types
 * that implement {@link Message}.
 *
 * @param to the process that a response is for; null in requests
 * @param index an index of the log
 * @param indexTerm the term at that index, or the newest view
 * @param number when the request was sent, or a sequence number
 * @param offset of a part of a snapshot, or the commit index
 * @param total length of a snapshot, or number of a view
 * @param isPositive success, vote or, in a request, bootstrap
 * @param isVoter whether the sender has a vote in the newest view of its log
 * @param isReadyToBootstrap whether the sender would support a bootstrap
 * @param memberChanges see {@link ObservedMembership}
 */
record MessageFrame(
        Kind kind,
        ProcessId from,
        ProcessId to,
        Term term,
        long index,
        Term indexTerm,
        long number,
        long offset,
        long total,
        boolean isPositive,
        boolean isVoter,
        boolean isReadyToBootstrap,
        List<LogEntry> entries,
        byte[] bytes,
        Map<String, Long> memberChanges) {
    /** Version of the format; a later one is refused. */
    static final int VERSION = 1;

    private static final byte[] NO_BYTES = new byte[0];

    /** The kind of a message with its name on the wire. */
    enum Kind {
        PRE_VOTE_REQUEST("ASK"),
        PRE_VOTE_RESPONSE("SAY"),
        VOTE_REQUEST("VOTE_ASK"),
        VOTE_RESPONSE("VOTE"),
        APPEND_REQUEST("APPEND"),
        APPEND_RESPONSE("APPENDED"),
        SNAPSHOT_CHUNK("SNAPSHOT"),
        SNAPSHOT_RESPONSE("HEARD"),
        COMMAND_REQUEST("COMMAND");

        private final String wireName;

        Kind(String wireName) {
            this.wireName = wireName;
        }

        String wireName() {
            return wireName;
        }

        /**
         * The kind of that name.
         *
         * @throws IllegalArgumentException if there is none
         */
        static Kind ofWireName(String name) {
            for (Kind kind : values()) {
                if (kind.wireName.equals(name)) {
                    return kind;
                }
            }
            throw new IllegalArgumentException("no kind of message: " + name);
        }
    }

    static MessageFrame of(
            Kind kind,
            ProcessId from,
            ProcessId to,
            Term term,
            long index,
            Term indexTerm,
            long number) {
        return new MessageFrame(
                kind, from, to, term, index, indexTerm, number, 0, 0, false, false, false,
                List.of(), NO_BYTES, Map.of());
    }

    MessageFrame withFlags(boolean positive, boolean voter, boolean readyToBootstrap) {
        return new MessageFrame(
                kind,
                from,
                to,
                term,
                index,
                indexTerm,
                number,
                offset,
                total,
                positive,
                voter,
                readyToBootstrap,
                entries,
                bytes,
                memberChanges);
    }

    MessageFrame withEntries(List<LogEntry> newEntries, long newOffset) {
        return new MessageFrame(
                kind,
                from,
                to,
                term,
                index,
                indexTerm,
                number,
                newOffset,
                total,
                isPositive,
                isVoter,
                isReadyToBootstrap,
                newEntries,
                bytes,
                memberChanges);
    }

    MessageFrame withBytes(byte[] newBytes, long newOffset, long newTotal) {
        return new MessageFrame(
                kind,
                from,
                to,
                term,
                index,
                indexTerm,
                number,
                newOffset,
                newTotal,
                isPositive,
                isVoter,
                isReadyToBootstrap,
                entries,
                newBytes,
                memberChanges);
    }

    MessageFrame withMemberChanges(Map<String, Long> changes) {
        return new MessageFrame(
                kind,
                from,
                to,
                term,
                index,
                indexTerm,
                number,
                offset,
                total,
                isPositive,
                isVoter,
                isReadyToBootstrap,
                entries,
                bytes,
                changes);
    }
}
