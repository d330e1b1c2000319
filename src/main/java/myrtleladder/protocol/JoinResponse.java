package myrtleladder.protocol;

/** The answer to a {@link JoinRequest}: the view that the answering node knows of, null if none. */
public final class JoinResponse implements Message {
    /** The view. */
    public View view;

    /** Creates a message from its parts. */
    public static JoinResponse of(View view) {
        JoinResponse message = new JoinResponse();
        message.view = view;
        return message;
    }
}
