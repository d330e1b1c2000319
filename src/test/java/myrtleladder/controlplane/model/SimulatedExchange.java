package myrtleladder.controlplane.model;

import java.util.function.Consumer;
import myrtleladder.controlplane.FakeServerExchange;
import myrtleladder.http.Headers;
import myrtleladder.http.RequestHead;

/** A request to a control address that passes its response to a callback. */
final class SimulatedExchange extends FakeServerExchange {
    private final Consumer<SimulatedResponse> responder;

    SimulatedExchange(RequestHead head, byte[] body, Consumer<SimulatedResponse> responder) {
        super(head, body);
        this.responder = responder;
    }

    @Override
    public void respond(int status, Headers headers, byte[] bytes) {
        String location = headers.get("Location");
        responder.accept(new SimulatedResponse(status, location == null ? "" : location, bytes));
    }

    @Override
    public void abort() {
        // the client gets no response and runs into its timeout
    }
}
