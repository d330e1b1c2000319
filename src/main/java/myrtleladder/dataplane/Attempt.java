package myrtleladder.dataplane;

import myrtleladder.http.RequestHead;
import myrtleladder.http.ResponseHead;
import myrtleladder.scheduler.Scheduler;

/** One send of a request to one upstream. */
final class Attempt implements UpstreamLinks.User {
    private static final long CONNECT_TIMEOUT = 500;

    /** How far an attempt has come. */
    enum State {
        CONNECTING,
        SENT,
        ANSWERED,
        ENDED
    }

    /** Who hears what becomes of an attempt. */
    interface Listener {
        /** Nothing was sent: no connection could be had. */
        void notSent(Attempt attempt);

        /** The head of the answer has come. */
        void head(Attempt attempt, ResponseHead head);

        /** A piece of the answer's body has come. */
        void body(Attempt attempt, byte[] bytes);

        /** The answer is whole. */
        void whole(Attempt attempt);

        /** The connection broke; the request may have run. */
        void broken(Attempt attempt);
    }

    private final Upstream upstream;
    private final RequestHead head;
    private final byte[] body;
    private final Placement.Pick pick;
    private final Listener listener;
    private final Scheduler scheduler;
    private final Scheduler.Timer connectTimer;
    private State state = State.CONNECTING;
    private UpstreamLinks.Link link;
    private long sentAt;
    private boolean begun;

    Attempt(
            Placement.Pick pick,
            RequestHead head,
            byte[] body,
            Scheduler scheduler,
            Listener listener) {
        this.upstream = pick.upstream();
        this.pick = pick;
        this.head = head;
        this.body = body;
        this.scheduler = scheduler;
        this.listener = listener;
        this.connectTimer = scheduler.schedule(CONNECT_TIMEOUT, this::connectTimedOut);
    }

    /** Asks for a connection, on which the request is sent. */
    void start(UpstreamLinks connections, boolean onlyFresh) {
        upstream.begins(this, scheduler.now());
        UpstreamLinks.Link used = connections.use(upstream, this, onlyFresh);
        if (state == State.CONNECTING) {
            link = used;
        }
    }

    Upstream upstream() {
        return upstream;
    }

    State state() {
        return state;
    }

    long sentAt() {
        return sentAt;
    }

    int tokens() {
        return pick.tokensToRead();
    }

    /** Whether it was sent where nobody was known to have a prompt read. */
    boolean alone() {
        return pick.alone();
    }

    /** How long the first event may take by what was known to be under way there. */
    double explainedMs() {
        return pick.knownMs();
    }

    /** Tokens that the upstream has yet to read before this answer begins. */
    long pendingTokens() {
        return begun || state == State.ENDED ? 0 : pick.tokensToRead();
    }

    /** The first event has come. */
    void begun() {
        begun = true;
    }

    /** Gives the attempt up; the upstream drops the request with its connection. */
    void cancel() {
        if (state != State.ENDED) {
            finish();
            if (link != null) {
                link.close();
            }
        }
    }

    private void finish() {
        state = State.ENDED;
        connectTimer.cancel();
        upstream.ends(this);
    }

    private void connectTimedOut() {
        if (state == State.CONNECTING) {
            cancel();
            listener.notSent(this);
        }
    }

    @Override
    public void ready(UpstreamLinks.Link used) {
        if (!used.ready()) {
            used.close(); // it ended while its standing was told
            refused();
            return;
        }
        link = used;
        connectTimer.cancel();
        sentAt = scheduler.now();
        state = State.SENT;
        used.send(head, body);
    }

    @Override
    public void refused() {
        finish();
        listener.notSent(this);
    }

    @Override
    public void head(ResponseHead answer) {
        state = State.ANSWERED;
        upstream.byteArrived(scheduler.now());
        listener.head(this, answer);
    }

    @Override
    public void body(byte[] bytes) {
        upstream.byteArrived(scheduler.now());
        if (state != State.ENDED) {
            listener.body(this, bytes);
        }
    }

    @Override
    public void end() {
        if (state != State.ENDED) {
            finish();
            listener.whole(this);
        }
    }

    @Override
    public void broken() {
        if (state != State.ENDED) {
            finish();
            listener.broken(this);
        }
    }
}
