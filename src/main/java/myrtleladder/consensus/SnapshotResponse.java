package myrtleladder.consensus;

/**
 * Answers a {@link SnapshotChunk} that was not the last one missing.
 *
 * @param receivedBytes how much of the snapshot the sender has, without a gap
 */
record SnapshotResponse(
        ProcessId from,
        ProcessId to,
        Term term,
        long snapshotIndex,
        long requestSentAtUs,
        long receivedBytes,
        long totalBytes)
        implements Message {
    private static final byte[] NO_BYTES = new byte[0];

    static SnapshotResponse of(MessageFrame frame) {
        return new SnapshotResponse(
                frame.from(),
                frame.to(),
                frame.term(),
                frame.index(),
                frame.number(),
                frame.offset(),
                frame.total());
    }

    @Override
    public MessageFrame toFrame() {
        return MessageFrame.of(
                        MessageFrame.Kind.SNAPSHOT_RESPONSE,
                        from,
                        to,
                        term,
                        snapshotIndex,
                        Term.NONE,
                        requestSentAtUs)
                .withBytes(NO_BYTES, receivedBytes, totalBytes);
    }
}
