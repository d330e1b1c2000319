package myrtleladder.controlplane;

import myrtleladder.http.Headers;
import myrtleladder.http.RequestHead;
import myrtleladder.http.ServerExchange;

/**
 * A request whose client expects one complete response and keeps its connection until it comes.
 * Responses in pieces fail the test.
 */
public abstract class FakeServerExchange implements ServerExchange {
    private final RequestHead head;
    private final byte[] body;

    /** Creates an exchange for a request. */
    protected FakeServerExchange(RequestHead head, byte[] body) {
        this.head = head;
        this.body = body;
    }

    @Override
    public final RequestHead head() {
        return head;
    }

    @Override
    public final byte[] body() {
        return body;
    }

    @Override
    public final String caller() {
        return "caller";
    }

    @Override
    public final boolean open() {
        return true;
    }

    @Override
    public final void onGone(Runnable task) {
        // the connection stays
    }

    @Override
    public final void begin(int status, Headers headers) {
        throw new AssertionError("no response of the control plane comes in pieces");
    }

    @Override
    public final void write(byte[] bytes, int offset, int length) {
        throw new AssertionError("no response of the control plane comes in pieces");
    }

    @Override
    public final void end() {
        throw new AssertionError("no response of the control plane comes in pieces");
    }
}
