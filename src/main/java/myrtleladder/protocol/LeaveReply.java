package myrtleladder.protocol;

/** The answer to a {@link Leave}. */
public final class LeaveReply implements Message {
    /** Whether neither the vote nor the copy of the member that asks is needed any more. */
    public boolean released;

    /** The view that the answering node knows of, null if none. */
    public View view;

    /** Creates a message from its parts. */
    public static LeaveReply of(boolean released, View view) {
        LeaveReply message = new LeaveReply();
        message.released = released;
        message.view = view;
        return message;
    }
}
