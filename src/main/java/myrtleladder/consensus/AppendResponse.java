package myrtleladder.consensus;

import java.util.Map;

/**
 * Answers an {@link AppendRequest} or the last {@link SnapshotChunk}.
 *
 * @param index on success up to where the logs match, else the last index that may match, or {@link
 *     #SNAPSHOT_NEEDED}
 * @param isVoter whether the sender has a vote in the newest view of its log
 * @param isReadyToBootstrap whether the sender would support a bootstrap
 * @param viewNumber number of the newest view in the sender's log
 * @param observedChanges membership changes that the sender has observed for long enough; see
 *     {@link ObservedMembership}
 */
record AppendResponse(
        ProcessId from,
        ProcessId to,
        Term term,
        long index,
        long requestSentAtUs,
        boolean isSuccess,
        boolean isVoter,
        boolean isReadyToBootstrap,
        long viewNumber,
        Map<String, Long> observedChanges)
        implements Message {
    /** Asks for a snapshot: the sender has committed what the leader does not have. */
    static final long SNAPSHOT_NEEDED = -1;

    private static final byte[] NO_BYTES = new byte[0];

    /** Tells the leader of an earlier term the current one. */
    static AppendResponse staleTerm(
            ProcessId from, ProcessId to, Term term, long index, long requestSentAtUs) {
        return new AppendResponse(
                from, to, term, index, requestSentAtUs, false, false, false, 0, Map.of());
    }

    static AppendResponse of(MessageFrame frame) {
        return new AppendResponse(
                frame.from(),
                frame.to(),
                frame.term(),
                frame.index(),
                frame.number(),
                frame.isPositive(),
                frame.isVoter(),
                frame.isReadyToBootstrap(),
                frame.total(),
                frame.memberChanges());
    }

    @Override
    public MessageFrame toFrame() {
        return MessageFrame.of(
                        MessageFrame.Kind.APPEND_RESPONSE,
                        from,
                        to,
                        term,
                        index,
                        Term.NONE,
                        requestSentAtUs)
                .withFlags(isSuccess, isVoter, isReadyToBootstrap)
                .withBytes(NO_BYTES, 0, viewNumber)
                .withMemberChanges(observedChanges);
    }
}
