package myrtleladder.controlplane.model;

import java.util.function.Consumer;
import myrtleladder.protocol.Message;

/** Passes on the first response to a call, or its timeout, and drops all others. */
final class FirstResponse {
    private final Consumer<Message> responder;
    private boolean isDone;

    FirstResponse(Consumer<Message> responder) {
        this.responder = responder;
    }

    void accept(Message response) {
        if (!isDone) {
            isDone = true;
            responder.accept(response);
        }
    }
}
