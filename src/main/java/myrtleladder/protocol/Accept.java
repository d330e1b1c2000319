package myrtleladder.protocol;

/** A candidate asks to accept a view. */
public final class Accept implements Message {
    /** The view. */
    public View view;

    /** Creates a message from its parts. */
    public static Accept of(View view) {
        Accept message = new Accept();
        message.view = view;
        return message;
    }
}
