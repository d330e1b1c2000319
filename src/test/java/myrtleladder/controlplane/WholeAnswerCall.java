package myrtleladder.controlplane;

import myrtleladder.http.Headers;
import myrtleladder.http.RequestHead;
import myrtleladder.http.ServerExchange;

/** A scripted call of somebody who waits for one whole answer and stays until it comes. */
public abstract class WholeAnswerCall implements ServerExchange {
    private final RequestHead head;
    private final byte[] body;

    /** Creates a call. */
    protected WholeAnswerCall(RequestHead head, byte[] body) {
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
        // callers here stay
    }

    @Override
    public final void begin(int status, Headers headers) {
        throw new AssertionError("no answer of the control plane comes in pieces");
    }

    @Override
    public final void write(byte[] bytes, int offset, int length) {
        throw new AssertionError("no answer of the control plane comes in pieces");
    }

    @Override
    public final void end() {
        throw new AssertionError("no answer of the control plane comes in pieces");
    }
}
