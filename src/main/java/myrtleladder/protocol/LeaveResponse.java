package myrtleladder.protocol;

/** The response to a {@link LeaveRequest}. */
public final class LeaveResponse implements Message {
    /**
     * Whether neither the vote nor the replica of the leaving node is needed any more, so that it
     * may stop.
     */
    public boolean released;

    /** The latest view that the responding node knows, null if none. */
    public View view;

    /** Creates a message with these fields. */
    public static LeaveResponse of(boolean released, View view) {
        LeaveResponse message = new LeaveResponse();
        message.released = released;
        message.view = view;
        return message;
    }
}
