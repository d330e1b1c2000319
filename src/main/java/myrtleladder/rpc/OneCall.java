package myrtleladder.rpc;

import myrtleladder.eventloop.EventLoop;
import myrtleladder.http.HttpConnection;
import myrtleladder.http.RequestHead;
import myrtleladder.http.ResponseHead;

/**
 * Sends one request on a connection of its own and ignores the response; the connection is closed
 * after it. Confined to the event loop.
 */
public final class OneCall implements HttpConnection.Listener {
    private final RequestHead head;
    private final byte[] body;
    private HttpConnection connection;

    private OneCall(RequestHead head, byte[] body) {
        this.head = head;
        this.body = body;
    }

    /** Connects and sends a request; failures are ignored. */
    public static void send(EventLoop loop, String host, int port, RequestHead head, byte[] body) {
        OneCall call = new OneCall(head, body);
        call.connection = HttpConnection.connect(loop, host, port, call);
    }

    @Override
    public void connected() {
        connection.send(head, body);
    }

    @Override
    public void head(ResponseHead answer) {
        // the response is ignored
    }

    @Override
    public void body(byte[] bytes) {
        // the response is ignored
    }

    @Override
    public void end(boolean reusable) {
        connection.close();
    }

    @Override
    public void closed(boolean everConnected) {
        // a failed request is not retried
    }
}
