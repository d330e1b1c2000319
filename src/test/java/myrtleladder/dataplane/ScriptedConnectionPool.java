package myrtleladder.dataplane;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import myrtleladder.http.Headers;
import myrtleladder.http.RequestHead;
import myrtleladder.http.ResponseHead;

/** A connection pool to fake upstreams that a test controls. */
final class ScriptedConnectionPool implements ConnectionPool {
    final List<SentRequest> sent = new ArrayList<>();
    boolean refusesConnections;
    boolean neverConnects;

    /** Whether new connections are established only by {@link #establishDelayed}. */
    boolean delaysConnections;

    private final List<SentRequest> delayed = new ArrayList<>();

    /** A connection to an upstream, and the request that was sent on it. */
    final class SentRequest implements PooledConnection {
        final Upstream upstream;
        final ResponseListener listener;
        RequestHead head;
        boolean closed;

        SentRequest(Upstream upstream, ResponseListener listener) {
            this.upstream = upstream;
            this.listener = listener;
        }

        @Override
        public boolean canSend() {
            return true;
        }

        @Override
        public void send(RequestHead request, byte[] body) {
            head = request;
            sent.add(this);
        }

        @Override
        public void close() {
            closed = true;
        }

        String header(String name) {
            return head.headers().get(name);
        }

        /** Sends a response head with the request's attempt id and a signature. */
        void respondHead(int status, String... fields) {
            Headers headers =
                    new Headers()
                            .add(HeaderNames.ATTEMPT_ID, header(HeaderNames.ATTEMPT_ID))
                            .add(HeaderNames.UPSTREAM_SIGNATURE, "sig");
            for (int i = 0; i < fields.length; i += 2) {
                headers.set(fields[i], fields[i + 1]);
            }
            listener.onResponseHead(new ResponseHead(status, headers, true));
        }

        void rejectAsNotExecuted() {
            listener.onResponseHead(
                    new ResponseHead(503, new Headers().add(HeaderNames.NOT_EXECUTED, "1"), true));
        }

        void sendEvent(long id) {
            listener.onResponseBody(
                    ("id: " + id + "\ndata: x" + id + "\n\n").getBytes(StandardCharsets.UTF_8));
        }

        void sendBytes(String text) {
            listener.onResponseBody(text.getBytes(StandardCharsets.UTF_8));
        }

        void completeResponse() {
            listener.onResponseComplete();
        }

        void loseConnection() {
            listener.onConnectionLost();
        }
    }

    @Override
    public PooledConnection acquire(
            Upstream upstream, ResponseListener listener, boolean recentlyUsedOnly) {
        SentRequest connection = new SentRequest(upstream, listener);
        if (refusesConnections) {
            listener.onConnectFailed();
        } else if (delaysConnections) {
            delayed.add(connection);
        } else if (!neverConnects) {
            listener.onConnectionReady(connection);
        }
        return connection;
    }

    void establishDelayed() {
        delayed.forEach(connection -> connection.listener.onConnectionReady(connection));
        delayed.clear();
    }

    @Override
    public int openConnections(Upstream upstream) {
        return 0;
    }

    @Override
    public int idleConnections(Upstream upstream) {
        return 0;
    }

    @Override
    public void closeExpired() {
        // there are no idle connections
    }

    SentRequest lastSent() {
        return sent.get(sent.size() - 1);
    }
}
