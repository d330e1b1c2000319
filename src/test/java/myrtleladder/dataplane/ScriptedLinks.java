package myrtleladder.dataplane;

import java.util.ArrayList;
import java.util.List;
import myrtleladder.http.Headers;
import myrtleladder.http.RequestHead;
import myrtleladder.http.ResponseHead;

/** Connections to upstreams that do what a test says. */
final class ScriptedLinks implements UpstreamLinks {
    final List<Sent> sent = new ArrayList<>();
    boolean refuses;
    boolean dark;

    /** A request that an upstream received. */
    final class Sent implements Link {
        final Upstream upstream;
        final User user;
        RequestHead head;
        boolean closed;

        Sent(Upstream upstream, User user) {
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
                            .add(Names.ATTEMPT, header(Names.ATTEMPT))
                            .add(Names.SIGNATURE, "sig");
            for (int i = 0; i < fields.length; i += 2) {
                headers.set(fields[i], fields[i + 1]);
            }
            user.head(new ResponseHead(status, headers, true));
        }

        void reject() {
            user.head(new ResponseHead(503, new Headers().add(Names.NOT_EXECUTED, "1"), true));
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
    public Link use(Upstream upstream, User user, boolean onlyFresh) {
        Sent link = new Sent(upstream, user);
        if (refuses) {
            user.refused();
        } else if (!dark) {
            user.ready(link);
        }
        return link;
    }

    @Override
    public int openTo(Upstream upstream) {
        return 0;
    }

    @Override
    public int idleTo(Upstream upstream) {
        return 0;
    }

    @Override
    public void closeIdle() {
        // nothing rests here
    }

    Sent last() {
        return sent.get(sent.size() - 1);
    }
}
