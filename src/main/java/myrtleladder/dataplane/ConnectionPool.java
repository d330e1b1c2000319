package myrtleladder.dataplane;

import myrtleladder.io.RequestHead;
import myrtleladder.io.ResponseHead;

/** HttpConnectionPool to upstreams, each used by one request at a time. */
interface ConnectionPool {
    /**
     * Finds or opens a connection; with {@code recentlyUsedOnly} one at rest has to have been used
     * a moment ago.
     */
    PooledConnection use(Upstream upstream, ResponseListener user, boolean recentlyUsedOnly);

    /** HttpConnectionPool that stand or are being opened. */
    int openConnections(Upstream upstream);

    /** HttpConnectionPool at rest. */
    int idleConnections(Upstream upstream);

    /** Closes connections at rest that are of no use any more. */
    void closeExpired();

    /** A connection while one request uses it. */
    interface PooledConnection {
        /** Whether a request can be sent now. */
        boolean ready();

        /** Sends the request. */
        void send(RequestHead head, byte[] body);

        /** Gives the connection up; its user hears nothing more. */
        void close();
    }

    /** Who uses a connection for one request. */
    interface ResponseListener {
        /** The connection stands; the request can be sent now. */
        void ready(PooledConnection link);

        /** No connection could be had; nothing was sent. */
        void refused();

        /** The head of the answer. */
        void head(ResponseHead head);

        /** A piece of the body. */
        void body(byte[] bytes);

        /** The answer is whole. */
        void end();

        /** The connection broke before the answer was whole. */
        void broken();
    }
}
