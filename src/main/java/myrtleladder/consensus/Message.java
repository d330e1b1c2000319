package myrtleladder.consensus;

import java.util.List;
import java.util.Map;

/**
 * One datagram between two lives.
 *
 * @param to the life it answers; null where it is the first word
 * @param index with {@code at}: a place in the log, by kind the last one, the one before the
 *     entries, or the last that is held; -1 in an answer asks for a snapshot
 * @param number of the question, which its answer repeats; of entries it is the time at which they
 *     were sent
 * @param offset of a part of a snapshot, or up to where it is decided
 * @param yes in questions: whether it is to be a founding
 * @param voter whether the sender has ever had a vote that was not taken from it
 * @param ripe whether the sender may help to found
 * @param cut changes against the sender's view that it has seen for long: name to life, 0 for gone
 */
record Message(
        Kind kind,
        Life from,
        Life to,
        Term term,
        long index,
        Term at,
        long number,
        long offset,
        long total,
        boolean yes,
        boolean voter,
        boolean ripe,
        List<LogEntry> entries,
        byte[] bytes,
        Map<String, Long> cut) {
    /** The format, told in each message; another one is refused. */
    static final int VERSION = 1;

    private static final byte[] NOTHING = new byte[0];

    /** What it is about. */
    enum Kind {
        /** Whether one would be voted for: disturbs nobody (Ongaro, dissertation, section 9.6). */
        ASK,
        /** The answer to that. */
        SAY,
        /** A question for a vote. */
        VOTE_ASK,
        /** A vote. */
        VOTE,
        /** Entries of a leader, or none: then it only says that it is there. */
        APPEND,
        /** Up to where they are held. */
        APPENDED,
        /** A part of a snapshot. */
        SNAPSHOT,
        /** Up to where a snapshot is held. */
        HEARD,
        /** A command for the log. */
        COMMAND
    }

    static Message of(Kind kind, Life from, Life to, Term term, long index, Term at, long number) {
        return new Message(
                kind, from, to, term, index, at, number, 0, 0, false, false, false, List.of(),
                NOTHING, Map.of());
    }

    Message says(boolean itsYes, boolean itsVoter, boolean itsRipe) {
        return new Message(
                kind, from, to, term, index, at, number, offset, total, itsYes, itsVoter, itsRipe,
                entries, bytes, cut);
    }

    Message with(List<LogEntry> itsEntries, long decided) {
        return new Message(
                kind,
                from,
                to,
                term,
                index,
                at,
                number,
                decided,
                total,
                yes,
                voter,
                ripe,
                itsEntries,
                bytes,
                cut);
    }

    Message with(byte[] itsBytes, long itsOffset, long itsTotal) {
        return new Message(
                kind, from, to, term, index, at, number, itsOffset, itsTotal, yes, voter, ripe,
                entries, itsBytes, cut);
    }

    Message with(Map<String, Long> itsCut) {
        return new Message(
                kind, from, to, term, index, at, number, offset, total, yes, voter, ripe, entries,
                bytes, itsCut);
    }
}
