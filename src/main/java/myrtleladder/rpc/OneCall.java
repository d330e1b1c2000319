package myrtleladder.rpc;

import myrtleladder.eventloop.EventLoop;
import myrtleladder.http.HttpConnection;
import myrtleladder.http.RequestHead;
import myrtleladder.http.ResponseHead;

/** A request on a connection of its own, whose answer is only read. */
public final class OneCall implements HttpConnection.Listener {
    private final RequestHead head;
    private final byte[] body;
    private HttpConnection connection;

    private OneCall(RequestHead head, byte[] body) {
        this.head = head;
        this.body = body;
    }

    /** Sends a request. */
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
        // only the end matters
    }

    @Override
    public void body(byte[] bytes) {
        // only the end matters
    }

    @Override
    public void end(boolean reusable) {
        connection.close();
    }

    @Override
    public void closed(boolean everConnected) {
        // nothing is left to do
    }
}
