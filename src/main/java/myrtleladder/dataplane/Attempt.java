package myrtleladder.dataplane;

import myrtleladder.http.RequestHead;
import myrtleladder.http.ResponseHead;
import myrtleladder.scheduler.Scheduler;

/**
 * An attempt to have one upstream execute a request. Counts as in flight at the upstream from
 * {@link #start} until {@link State#ENDED}. Confined to the event loop.
 */
final class Attempt implements ConnectionPool.ResponseListener {
    /** Timeout for establishing a connection. */
    private static final long CONNECT_TIMEOUT_MS = 500;

    /** The progress of an attempt. */
    enum State {
        /** Nothing has been sent yet. */
        CONNECTING,
        /** The request has been sent and may be executed from now on. */
        SENT,
        /** The head of the response has been received. */
        RECEIVING_RESPONSE,
        /** The attempt completed, failed or was cancelled; the listener is not called any more. */
        ENDED
    }

    /**
     * Receives the events of an attempt, on the event loop. All but {@link #onResponseHead} and
     * {@link #onResponseBody} are final.
     */
    interface Listener {
        /** The head of the response was received. */
        void onResponseHead(Attempt attempt, ResponseHead head);

        /** A part of the response body was received. */
        void onResponseBody(Attempt attempt, byte[] bytes);

        /** The response is complete. */
        void onResponseComplete(Attempt attempt);

        /** No connection could be established, so nothing was sent. */
        void onNotSent(Attempt attempt);

        /**
         * The attempt was withdrawn before anything was sent, without a failure of the upstream:
         * its zone was drained, or it became cold and its warm-up budget is used up.
         */
        void onWithdrawn(Attempt attempt);

        /**
         * The connection was lost before the response was complete; the request may have been
         * executed.
         */
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
    private boolean isPromptProcessed;

    /** Creates an attempt and starts its connect timeout. */
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
     * Acquires a connection and sends the request once it is established. The listener may be
     * called before this returns.
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

    /** Returns the time at which the request was sent, 0 if it was not sent yet. */
    long sentAtMs() {
        return sentAtMs;
    }

    /**
     * Returns the number of prompt tokens that the upstream was expected to process because they
     * were not cached.
     */
    int promptTokens() {
        return pick.promptTokens();
    }

    /** Returns whether no other prompt was known to be pending when the upstream was picked. */
    boolean isWithoutBacklog() {
        return pick.withoutBacklog();
    }

    /** Returns the part of the expected time to the first event that is due to known prompts. */
    double knownPrefillMs() {
        return pick.knownPrefillMs();
    }

    /** Returns the number of prompt tokens that the upstream has yet to process. */
    long pendingPromptTokens() {
        return isPromptProcessed || state == State.ENDED ? 0 : pick.promptTokens();
    }

    /** Records that the first event was received, so the upstream has processed the prompt. */
    void markPromptProcessed() {
        isPromptProcessed = true;
    }

    /**
     * Ends the attempt if nothing was sent yet; called when the upstream may not receive requests
     * any more.
     */
    void withdrawIfUnsent() {
        if (state == State.CONNECTING) {
            cancel();
            listener.onWithdrawn(this);
        }
    }

    /** Ends the attempt and closes its connection, upon which the upstream drops the request. */
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
            ready.close(); // closed between becoming ready and this call
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
