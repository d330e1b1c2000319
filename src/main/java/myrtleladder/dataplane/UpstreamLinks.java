package myrtleladder.dataplane;

import myrtleladder.http.RequestHead;
import myrtleladder.http.ResponseHead;

/** Connections to upstreams, each used by one request at a time. */
interface UpstreamLinks {
    /**
     * Finds or opens a connection; with {@code onlyFresh} one at rest has to have been used a
     * moment ago.
     */
    Link use(Upstream upstream, User user, boolean onlyFresh);

    /** Connections that stand or are being opened. */
    int openTo(Upstream upstream);

    /** Connections at rest. */
    int idleTo(Upstream upstream);

    /** Closes connections at rest that are of no use any more. */
    void closeIdle();

    /** A connection while one request uses it. */
    interface Link {
        /** Whether a request can be sent now. */
        boolean ready();

        /** Sends the request. */
        void send(RequestHead head, byte[] body);

        /** Gives the connection up; its user hears nothing more. */
        void close();
    }

    /** Who uses a connection for one request. */
    interface User {
        /** The connection stands; the request can be sent now. */
        void ready(Link link);

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
