package myrtleladder.controlplane.model;

import java.util.function.Consumer;
import myrtleladder.controlplane.FakeServerExchange;
import myrtleladder.io.Headers;
import myrtleladder.io.RequestHead;

/** A call at a control address whose answer is handed over once, whole. */
final class SimulatedExchange extends FakeServerExchange {
    private final Consumer<SimulatedResponse> answered;

    SimulatedExchange(RequestHead head, byte[] body, Consumer<SimulatedResponse> answered) {
        super(head, body);
        this.answered = answered;
    }

    @Override
    public void respond(int status, Headers headers, byte[] bytes) {
        String location = headers.get("Location");
        answered.accept(new SimulatedResponse(status, location == null ? "" : location, bytes));
    }

    @Override
    public void abort() {
        // the caller hears nothing and gives up by itself
    }
}
