package myrtleladder.protocol;

/**
 * Phase 2 of Paxos. Sent by a candidate to all members of the new and of the previous group, after
 * a majority promised the epoch and the replicas installed the state.
 *
 * <p>The receiver stores the view on its disk and acknowledges it, or rejects it if it promised a
 * higher epoch. Answered by {@link AcknowledgeResponse}.
 */
public final class AcceptViewRequest implements Message {
    /** The view to store; its epoch is the one that was promised. */
    public View view;

    /** Creates a message with these fields. */
    public static AcceptViewRequest of(View view) {
        AcceptViewRequest message = new AcceptViewRequest();
        message.view = view;
        return message;
    }
}
