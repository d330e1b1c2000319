package myrtleladder.protocol;

/** A candidate asks to accept a view. */
public final class AcceptViewRequest implements Message {
    /** The view. */
    public View view;

    /** Creates a message from its parts. */
    public static AcceptViewRequest of(View view) {
        AcceptViewRequest message = new AcceptViewRequest();
        message.view = view;
        return message;
    }
}
