package myrtleladder.protocol;

/** The answer to a {@link LeaveRequest}. */
public final class LeaveResponse implements Message {
    /** Whether neither the vote nor the copy of the member that asks is needed any more. */
    public boolean released;

    /** The view that the answering node knows of, null if none. */
    public View view;

    /** Creates a message from its parts. */
    public static LeaveResponse of(boolean released, View view) {
        LeaveResponse message = new LeaveResponse();
        message.released = released;
        message.view = view;
        return message;
    }
}
