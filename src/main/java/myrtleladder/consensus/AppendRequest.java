package myrtleladder.consensus;

import java.util.List;

/**
 * Entries of the leader's log, or none as a heartbeat (Raft, section 5.3).
 *
 * @param previousIndex index before the first entry
 * @param previousTerm term of the entry there
 * @param commitIndex index up to which the leader has committed
 */
record AppendRequest(
        ProcessId from,
        Term term,
        long previousIndex,
        Term previousTerm,
        long sentAtUs,
        List<LogEntry> entries,
        long commitIndex)
        implements Message {
    static AppendRequest of(MessageFrame frame) {
        return new AppendRequest(
                frame.from(),
                frame.term(),
                frame.index(),
                frame.indexTerm(),
                frame.number(),
                frame.entries(),
                frame.offset());
    }

    @Override
    public MessageFrame toFrame() {
        return MessageFrame.of(
                        MessageFrame.Kind.APPEND_REQUEST,
                        from,
                        null,
                        term,
                        previousIndex,
                        previousTerm,
                        sentAtUs)
                .withEntries(entries, commitIndex);
    }
}
