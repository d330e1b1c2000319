package myrtleladder.replication;

import java.util.function.Consumer;
import myrtleladder.protocol.Message;

/** Calls to other nodes. */
public interface Peers {
    /** Sends a message; the answer, or null if none comes in time, is handed over once. */
    void call(String address, Message message, long timeoutMs, Consumer<Message> answer);
}
