package myrtleladder.consensus;

/**
 * A message between two processes. Each type names the fields that it uses of a {@link
 * MessageFrame}, the form that all share on the wire. Times are microseconds of the clock of
 * whoever sent the request; a response repeats that of its request.
 */
sealed interface Message
        permits PreVoteRequest,
                PreVoteResponse,
                VoteRequest,
                VoteResponse,
                AppendRequest,
                AppendResponse,
                SnapshotChunk,
                SnapshotResponse,
                CommandRequest {
    /** The sender. */
    ProcessId from();

    MessageFrame toFrame();

    /** The message that a frame holds. */
    static Message of(MessageFrame frame) {
        return switch (frame.kind()) {
            case PRE_VOTE_REQUEST -> PreVoteRequest.of(frame);
            case PRE_VOTE_RESPONSE -> PreVoteResponse.of(frame);
            case VOTE_REQUEST -> VoteRequest.of(frame);
            case VOTE_RESPONSE -> VoteResponse.of(frame);
            case APPEND_REQUEST -> AppendRequest.of(frame);
            case APPEND_RESPONSE -> AppendResponse.of(frame);
            case SNAPSHOT_CHUNK -> SnapshotChunk.of(frame);
            case SNAPSHOT_RESPONSE -> SnapshotResponse.of(frame);
            case COMMAND_REQUEST -> CommandRequest.of(frame);
        };
    }
}
