package yewyoke.control.model;

import java.util.function.Consumer;
import yewyoke.io.Headers;
import yewyoke.io.RequestHead;
import yewyoke.io.ServerExchange;

/** A call at a control address whose answer is handed over once, whole. */
final class ModelCall implements ServerExchange {
    private final RequestHead head;
    private final byte[] body;
    private final Consumer<ModelAnswer> answered;

    ModelCall(RequestHead head, byte[] body, Consumer<ModelAnswer> answered) {
        this.head = head;
        this.body = body;
        this.answered = answered;
    }

    @Override
    public RequestHead head() {
        return head;
    }

    @Override
    public byte[] body() {
        return body;
    }

    @Override
    public String caller() {
        return "model";
    }

    @Override
    public void respond(int status, Headers headers, byte[] bytes) {
        String location = headers.get("Location");
        answered.accept(new ModelAnswer(status, location == null ? "" : location, bytes));
    }

    @Override
    public void begin(int status, Headers headers) {
        throw new AssertionError("no answer of the control plane comes in pieces");
    }

    @Override
    public void write(byte[] bytes, int offset, int length) {
        throw new AssertionError("no answer of the control plane comes in pieces");
    }

    @Override
    public void end() {
        throw new AssertionError("no answer of the control plane comes in pieces");
    }

    @Override
    public void abort() {
        // the caller hears nothing and gives up by itself
    }

    @Override
    public boolean open() {
        return true;
    }

    @Override
    public void onGone(Runnable task) {
        // callers here stay until they give up
    }
}
