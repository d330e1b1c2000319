package myrtleladder.dataplane;

import myrtleladder.http.RequestHead;
import myrtleladder.http.ResponseHead;
import myrtleladder.scheduler.Scheduler;

/**
 * One send of a request to one upstream. Counts as in flight at the upstream from {@link #start} to
 * {@link State#ENDED}. Confined to the event loop.
 */
final class Attempt implements ConnectionPool.ResponseListener {
    /** Time in which a connection has to be established. */
    private static final long CONNECT_TIMEOUT_MS = 500;

    /** How far an attempt has come. */
    enum State {
        /** Nothing was sent yet. */
        CONNECTING,
        /** The request was sent and may run from now on. */
        SENT,
        /** The head of the response has come. */
        RECEIVING_RESPONSE,
        /** It completed, failed or was cancelled; the listener hears nothing more. */
        ENDED
    }

    /** Receives the events of an attempt, each on the event loop; one of the last four is final. */
    interface Listener {
        /** The head of the response has come. */
        void onResponseHead(Attempt attempt, ResponseHead head);

        /** A part of the response's body has come. */
        void onResponseBody(Attempt attempt, byte[] bytes);

        /** The response is complete. */
        void onResponseComplete(Attempt attempt);

        /** No connection could be had and nothing was sent. */
        void onNotSent(Attempt attempt);

        /**
         * It ended before anything was sent, through no fault of the upstream: its zone was
         * drained, or it became cold and its budget is spent.
         */
        void onWithdrawn(Attempt attempt);

        /** The connection was lost before the response was complete; the request may have run. */
        void onConnectionLost(Attempt attempt);
    }

    private final PickResult pick;
    private final RequestHead head;
    private final byte[] body;
    private final Listener listener;
    private final Scheduler scheduler;
    private final Scheduler.Timer connectTimer;
    private State state = State.CONNECTING;
    private ConnectionPool.PooledConnection connection;
    private long sentAtMs;
    private boolean isPromptRead;

    /** Creates an attempt, whose time to connect runs from now on. */
    Attempt(
            PickResult pick,
            RequestHead head,
            byte[] body,
            Scheduler scheduler,
            Listener listener) {
        this.pick = pick;
        this.head = head;
        this.body = body;
        this.scheduler = scheduler;
        this.listener = listener;
        this.connectTimer = scheduler.schedule(CONNECT_TIMEOUT_MS, this::connectTimedOut);
    }

    /**
     * Acquires a connection, on which the request is sent; the listener may be called meanwhile.
     *
     * @param recentlyUsedOnly see {@link ConnectionPool#acquire}
     */
    void start(ConnectionPool connections, boolean recentlyUsedOnly) {
        upstream().attemptStarted(this, scheduler.now());
        ConnectionPool.PooledConnection acquired =
                connections.acquire(upstream(), this, recentlyUsedOnly);
        if (state == State.CONNECTING) {
            connection = acquired;
        }
    }

    Upstream upstream() {
        return pick.upstream();
    }

    State state() {
        return state;
    }

    /** When the request was sent, 0 before. */
    long sentAtMs() {
        return sentAtMs;
    }

    /** Tokens of the prompt that the upstream was expected to read. */
    int promptTokens() {
        return pick.promptTokens();
    }

    /** Whether no other prompt was known to be read there when the upstream was picked. */
    boolean isWithoutBacklog() {
        return pick.withoutBacklog();
    }

    /** Time to the first event that the requests known at the pick explain. */
    double explainedMs() {
        return pick.knownPrefillMs();
    }

    /** Tokens of the prompt that the upstream has yet to read. */
    long pendingPromptTokens() {
        return isPromptRead || state == State.ENDED ? 0 : pick.promptTokens();
    }

    /** Notes that the first event has come, so the prompt is read. */
    void markPromptRead() {
        isPromptRead = true;
    }

    /** Ends the attempt if nothing was sent yet, since nothing may be sent to the upstream now. */
    void withdrawIfUnsent() {
        if (state == State.CONNECTING) {
            cancel();
            listener.onWithdrawn(this);
        }
    }

    /** Ends the attempt; the upstream drops the request with its connection. */
    void cancel() {
        if (state == State.ENDED) {
            return;
        }
        end();
        if (connection != null) {
            connection.close();
        }
    }

    private void end() {
        state = State.ENDED;
        connectTimer.cancel();
        upstream().attemptEnded(this);
    }

    private void connectTimedOut() {
        if (state == State.CONNECTING) {
            cancel();
            listener.onNotSent(this);
        }
    }

    @Override
    public void onConnectionReady(ConnectionPool.PooledConnection ready) {
        if (!ready.canSend()) {
            ready.close(); // it was closed between its becoming ready and this call
            onConnectFailed();
            return;
        }
        connection = ready;
        connectTimer.cancel();
        long nowMs = scheduler.now();
        if (!upstream().warmup().admits(0, nowMs)) {
            cancel();
            listener.onWithdrawn(this);
            return;
        }
        upstream().warmup().recordSent(nowMs);
        sentAtMs = nowMs;
        state = State.SENT;
        ready.send(head, body);
    }

    @Override
    public void onConnectFailed() {
        end();
        listener.onNotSent(this);
    }

    @Override
    public void onResponseHead(ResponseHead responseHead) {
        state = State.RECEIVING_RESPONSE;
        upstream().recordByteReceived(scheduler.now());
        listener.onResponseHead(this, responseHead);
    }

    @Override
    public void onResponseBody(byte[] bytes) {
        upstream().recordByteReceived(scheduler.now());
        if (state != State.ENDED) {
            listener.onResponseBody(this, bytes);
        }
    }

    @Override
    public void onResponseComplete() {
        if (state != State.ENDED) {
            end();
            listener.onResponseComplete(this);
        }
    }

    @Override
    public void onConnectionLost() {
        if (state != State.ENDED) {
            end();
            listener.onConnectionLost(this);
        }
    }
}
