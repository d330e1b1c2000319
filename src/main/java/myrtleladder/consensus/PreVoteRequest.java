package myrtleladder.consensus;

/** Asks whether the receiver would vote for the sender (Ongaro's dissertation, section 9.6). */
record PreVoteRequest(ProcessId from, Term term, long lastLogIndex, Term lastLogTerm, long sentAtUs)
        implements Message {
    static PreVoteRequest of(MessageFrame frame) {
        return new PreVoteRequest(
                frame.from(), frame.term(), frame.index(), frame.indexTerm(), frame.number());
    }

    @Override
    public MessageFrame toFrame() {
        return MessageFrame.of(
                MessageFrame.Kind.PRE_VOTE_REQUEST,
                from,
                null,
                term,
                lastLogIndex,
                lastLogTerm,
                sentAtUs);
    }
}
