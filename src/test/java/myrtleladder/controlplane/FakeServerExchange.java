package myrtleladder.controlplane;

import myrtleladder.http.Headers;
import myrtleladder.http.RequestHead;
import myrtleladder.http.ServerExchange;

/**
 * A request whose client keeps its connection open until one complete response arrives. Streamed
 * responses fail the test.
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
    public final boolean reserveMemory(long bytes) {
        return true;
    }

    @Override
    public final boolean open() {
        return true;
    }

    @Override
    public final void onGone(Runnable task) {
        // the client never disconnects
    }

    @Override
    public final void begin(int status, Headers headers) {
        throw new AssertionError("the control plane must not stream its responses");
    }

    @Override
    public final void write(byte[] bytes, int offset, int length) {
        throw new AssertionError("the control plane must not stream its responses");
    }

    @Override
    public final void end() {
        throw new AssertionError("the control plane must not stream its responses");
    }
}
