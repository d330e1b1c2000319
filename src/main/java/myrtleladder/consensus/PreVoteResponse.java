package myrtleladder.consensus;

/**
 * Answers a {@link PreVoteRequest}.
 *
 * @param newestView epoch and number of the newest view in the sender's log
 * @param isVoter whether the sender has a vote in that view
 * @param isReadyToBootstrap whether the sender would support a bootstrap
 */
record PreVoteResponse(
        ProcessId from,
        ProcessId to,
        Term term,
        Term newestView,
        long requestSentAtUs,
        boolean wouldVote,
        boolean isVoter,
        boolean isReadyToBootstrap)
        implements Message {
    static PreVoteResponse of(MessageFrame frame) {
        return new PreVoteResponse(
                frame.from(),
                frame.to(),
                frame.term(),
                frame.indexTerm(),
                frame.number(),
                frame.isPositive(),
                frame.isVoter(),
                frame.isReadyToBootstrap());
    }

    @Override
    public MessageFrame toFrame() {
        return MessageFrame.of(
                        MessageFrame.Kind.PRE_VOTE_RESPONSE,
                        from,
                        to,
                        term,
                        0,
                        newestView,
                        requestSentAtUs)
                .withFlags(wouldVote, isVoter, isReadyToBootstrap);
    }
}
