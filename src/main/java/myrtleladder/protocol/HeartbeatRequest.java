package myrtleladder.protocol;

/** The primary tells its view, and asks whether it still holds. */
public final class HeartbeatRequest implements Message {
    /** The view. */
    public View view;

    /** Creates a message from its parts. */
    public static HeartbeatRequest of(View view) {
        HeartbeatRequest message = new HeartbeatRequest();
        message.view = view;
        return message;
    }
}
