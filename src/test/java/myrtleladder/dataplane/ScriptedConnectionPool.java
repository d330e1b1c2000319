package myrtleladder.dataplane;

import java.util.ArrayList;
import java.util.List;
import myrtleladder.io.Headers;
import myrtleladder.io.RequestHead;
import myrtleladder.io.ResponseHead;

/** HttpConnectionPool to upstreams that do what a test says. */
final class ScriptedConnectionPool implements ConnectionPool {
    final List<Sent> sent = new ArrayList<>();
    boolean refuses;
    boolean dark;

    /** A request that an upstream received. */
    final class Sent implements PooledConnection {
        final Upstream upstream;
        final ResponseListener user;
        RequestHead head;
        boolean closed;

        Sent(Upstream upstream, ResponseListener user) {
            this.upstream = upstream;
            this.user = user;
        }

        @Override
        public boolean ready() {
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

        /** The head of an answer that carries the request's id and a signature. */
        void head(int status, String... fields) {
            Headers headers =
                    new Headers()
                            .add(HeaderNames.ATTEMPT, header(HeaderNames.ATTEMPT))
                            .add(HeaderNames.SIGNATURE, "sig");
            for (int i = 0; i < fields.length; i += 2) {
                headers.set(fields[i], fields[i + 1]);
            }
            user.head(new ResponseHead(status, headers, true));
        }

        void reject() {
            user.head(
                    new ResponseHead(503, new Headers().add(HeaderNames.NOT_EXECUTED, "1"), true));
        }

        void event(long id) {
            user.body(("id: " + id + "\ndata: x" + id + "\n\n").getBytes());
        }

        void bytes(String text) {
            user.body(text.getBytes());
        }

        void end() {
            user.end();
        }

        void broken() {
            user.broken();
        }
    }

    @Override
    public PooledConnection use(
            Upstream upstream, ResponseListener user, boolean recentlyUsedOnly) {
        Sent link = new Sent(upstream, user);
        if (refuses) {
            user.refused();
        } else if (!dark) {
            user.ready(link);
        }
        return link;
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
        // nothing rests here
    }

    Sent last() {
        return sent.get(sent.size() - 1);
    }
}
