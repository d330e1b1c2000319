package myrtleladder.consensus;

/**
 * Asks for a vote in a term (Raft, section 5.2).
 *
 * @param isBootstrap whether the sender would bootstrap the log anew
 * @param isVoter whether the sender has a vote in the newest view of its log
 */
record VoteRequest(
        ProcessId from,
        Term term,
        long lastLogIndex,
        Term lastLogTerm,
        long sentAtUs,
        boolean isBootstrap,
        boolean isVoter)
        implements Message {
    static VoteRequest of(MessageFrame frame) {
        return new VoteRequest(
                frame.from(),
                frame.term(),
                frame.index(),
                frame.indexTerm(),
                frame.number(),
                frame.isPositive(),
                frame.isVoter());
    }

    @Override
    public MessageFrame toFrame() {
        return MessageFrame.of(
                        MessageFrame.Kind.VOTE_REQUEST,
                        from,
                        null,
                        term,
                        lastLogIndex,
                        lastLogTerm,
                        sentAtUs)
                .withFlags(isBootstrap, isVoter, true);
    }
}
