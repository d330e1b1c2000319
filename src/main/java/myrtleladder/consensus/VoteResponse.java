package myrtleladder.consensus;

/**
 * Grants a vote; a node that does not vote does not answer.
 *
 * @param newestView epoch and number of the newest view in the sender's log
 * @param isVoter whether the sender had a vote in that view when it was asked
 */
record VoteResponse(
        ProcessId from,
        ProcessId to,
        Term term,
        Term newestView,
        long requestSentAtUs,
        boolean isGranted,
        boolean isVoter)
        implements Message {
    static VoteResponse of(MessageFrame frame) {
        return new VoteResponse(
                frame.from(),
                frame.to(),
                frame.term(),
                frame.indexTerm(),
                frame.number(),
                frame.isPositive(),
                frame.isVoter());
    }

    @Override
    public MessageFrame toFrame() {
        return MessageFrame.of(
                        MessageFrame.Kind.VOTE_RESPONSE,
                        from,
                        to,
                        term,
                        0,
                        newestView,
                        requestSentAtUs)
                .withFlags(isGranted, isVoter, true);
    }
}
