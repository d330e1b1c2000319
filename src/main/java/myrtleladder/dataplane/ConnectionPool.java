package myrtleladder.dataplane;

import myrtleladder.http.RequestHead;
import myrtleladder.http.ResponseHead;

/**
 * Pools connections to upstreams, each used by one request at a time. Confined to the event loop,
 * on which listeners are called.
 */
interface ConnectionPool {
    /**
     * Acquires an idle connection or opens a new one. The listener may be called before this
     * returns.
     *
     * @param recentlyUsedOnly whether to reuse only connections that were in use recently. Set it
     *     for requests that must not be repeated: an upstream is more likely to close a connection
     *     that has been idle for longer, just as the request is sent
     */
    PooledConnection acquire(
            Upstream upstream, ResponseListener listener, boolean recentlyUsedOnly);

    /** Returns the number of connections to an upstream that are open or being opened. */
    int openConnections(Upstream upstream);

    /** Returns the number of idle connections to an upstream. */
    int idleConnections(Upstream upstream);

    /** Closes idle connections that expired or whose upstream is leaving. */
    void closeExpired();

    /** A connection while it is used by a request. */
    interface PooledConnection {
        /** Returns whether a request can be sent now. */
        boolean canSend();

        /** Sends the request; requires {@link #canSend()}. */
        void send(RequestHead head, byte[] body);

        /** Closes the connection; the listener is not called any more. */
        void close();
    }

    /** Receives the events of a connection while it is used by a request. */
    interface ResponseListener {
        /** The connection is established; the request can be sent now. */
        void onConnectionReady(PooledConnection connection);

        /** No connection could be established, so nothing was sent. */
        void onConnectFailed();

        /** The head of the response was received. */
        void onResponseHead(ResponseHead head);

        /** A part of the response body was received. */
        void onResponseBody(byte[] bytes);

        /** The response is complete; the connection was returned to the pool or closed. */
        void onResponseComplete();

        /** The connection was lost before the response was complete. */
        void onConnectionLost();
    }
}
