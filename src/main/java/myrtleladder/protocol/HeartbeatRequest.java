package myrtleladder.protocol;

/**
 * Sent by the primary to the other control nodes at a fixed interval, to announce its view and to
 * confirm that it still leads.
 *
 * <p>The receiver adopts the view, stores it if its epoch is new, and acknowledges it, or rejects
 * it if it promised a higher epoch. Answered by {@link AcknowledgeResponse}.
 */
public final class HeartbeatRequest implements Message {
    /** The view of the primary. */
    public View view;

    /** Creates a message with these fields. */
    public static HeartbeatRequest of(View view) {
        HeartbeatRequest message = new HeartbeatRequest();
        message.view = view;
        return message;
    }
}
