package myrtleladder.replication;

import java.util.function.Consumer;
import myrtleladder.protocol.Message;

/** Sends requests to other nodes. Called on the event loop, which also runs the callbacks. */
public interface Peers {
    /**
     * Sends a request without waiting for the answer.
     *
     * @param address host and port of the receiver
     * @param timeoutMs in milliseconds
     * @param answer takes the answer, or null if none came in time; called once
     */
    void call(String address, Message message, long timeoutMs, Consumer<Message> answer);
}
