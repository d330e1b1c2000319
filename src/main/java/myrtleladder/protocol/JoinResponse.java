package myrtleladder.protocol;

/** The response to a {@link JoinRequest}. */
public final class JoinResponse implements Message {
    /** The latest view that the responding node knows, null if none. */
    public View view;

    /** Creates a message with these fields. */
    public static JoinResponse of(View view) {
        JoinResponse message = new JoinResponse();
        message.view = view;
        return message;
    }
}
