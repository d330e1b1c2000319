package myrtleladder.protocol;

/** The answer to a {@link Join}: the view that the answering node knows of, null if none. */
public final class JoinReply implements Message {
    /** The view. */
    public View view;

    /** Creates a message from its parts. */
    public static JoinReply of(View view) {
        JoinReply message = new JoinReply();
        message.view = view;
        return message;
    }
}
