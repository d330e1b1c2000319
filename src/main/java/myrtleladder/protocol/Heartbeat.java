package myrtleladder.protocol;

/** The primary tells its view, and asks whether it still holds. */
public final class Heartbeat implements Message {
    /** The view. */
    public View view;

    /** Creates a message from its parts. */
    public static Heartbeat of(View view) {
        Heartbeat message = new Heartbeat();
        message.view = view;
        return message;
    }
}
