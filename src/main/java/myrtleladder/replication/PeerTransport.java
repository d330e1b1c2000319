package myrtleladder.replication;

import java.util.function.Consumer;
import myrtleladder.protocol.Message;

/** Sends requests to other nodes. Methods and callbacks run on the event loop. */
public interface PeerTransport {
    /**
     * Sends a request and returns without waiting for the response.
     *
     * @param address host and port of the receiver
     * @param answer receives the response, or null if none arrived within the timeout; called once
     */
    void call(String address, Message message, long timeoutMs, Consumer<Message> answer);
}
