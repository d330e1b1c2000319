package myrtleladder.dataplane;

import myrtleladder.http.RequestHead;
import myrtleladder.http.ResponseHead;

/**
 * Connections to upstreams, each used by one request at a time. Confined to the event loop, on
 * which all listeners are called.
 */
interface ConnectionPool {
    /**
     * Acquires an idle connection or opens one. The listener may be called before this returns.
     *
     * @param recentlyUsedOnly idle connections qualify only if they were used a moment ago, so that
     *     a request that must not be repeated hardly meets one that its upstream is about to close
     */
    PooledConnection acquire(
            Upstream upstream, ResponseListener listener, boolean recentlyUsedOnly);

    /** The number of connections to an upstream that are open or being opened. */
    int openConnections(Upstream upstream);

    /** The number of idle connections to an upstream. */
    int idleConnections(Upstream upstream);

    /** Closes idle connections that may not be used any more. */
    void closeExpired();

    /** A connection while one request uses it. */
    interface PooledConnection {
        /** Whether a request can be sent now. */
        boolean canSend();

        /** Sends the request; only if {@link #canSend()}. */
        void send(RequestHead head, byte[] body);

        /** Closes the connection; its listener is not called any more. */
        void close();
    }

    /** Receives what happens to a connection while one request uses it. */
    interface ResponseListener {
        /** The connection is established; the request can be sent now. */
        void onConnectionReady(PooledConnection connection);

        /** No connection could be had; nothing was sent. */
        void onConnectFailed();

        /** The head of the response has come. */
        void onResponseHead(ResponseHead head);

        /** A part of the body has come. */
        void onResponseBody(byte[] bytes);

        /** The response is complete; the connection is the pool's again. */
        void onResponseComplete();

        /** The connection was lost before the response was complete. */
        void onConnectionLost();
    }
}
