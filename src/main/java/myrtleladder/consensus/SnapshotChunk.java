package myrtleladder.consensus;

/**
 * A part of a snapshot (Raft, section 7).
 *
 * @param snapshotIndex last index that the snapshot covers
 * @param snapshotTerm term of the entry there
 * @param bytes the part that begins at {@code offset}
 * @param totalBytes length of the whole snapshot
 */
record SnapshotChunk(
        ProcessId from,
        Term term,
        long snapshotIndex,
        Term snapshotTerm,
        long sentAtUs,
        byte[] bytes,
        long offset,
        long totalBytes)
        implements Message {
    static SnapshotChunk of(MessageFrame frame) {
        return new SnapshotChunk(
                frame.from(),
                frame.term(),
                frame.index(),
                frame.indexTerm(),
                frame.number(),
                frame.bytes(),
                frame.offset(),
                frame.total());
    }

    @Override
    public MessageFrame toFrame() {
        return MessageFrame.of(
                        MessageFrame.Kind.SNAPSHOT_CHUNK,
                        from,
                        null,
                        term,
                        snapshotIndex,
                        snapshotTerm,
                        sentAtUs)
                .withBytes(bytes, offset, totalBytes);
    }
}
