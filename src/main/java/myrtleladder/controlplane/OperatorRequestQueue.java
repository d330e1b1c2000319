package myrtleladder.controlplane;

import java.util.ArrayDeque;
import myrtleladder.http.ServerExchange;
import myrtleladder.replication.Replica;
import myrtleladder.scheduler.Scheduler;

/**
 * The requests of operators that read or change the replicated state, processed on the primary one
 * at a time, each after a majority has confirmed since it arrived that this node is still primary
 * ({@link Replica#confirm}). A request that waits too long or is not confirmed is answered with
 * 503, and the operator sends it again.
 *
 * <p>Confined to the event loop.
 */
final class OperatorRequestQueue {
    /** The longest that a request waits for its turn before it is answered with 503. */
    private static final long QUEUE_TIMEOUT_MS = 900;

    private final Scheduler scheduler;
    private final ArrayDeque<WaitingRequest> queue = new ArrayDeque<>();
    private Replica replica;
    private boolean isPrimary;
    private boolean isProcessing;

    /** Processes a confirmed request. */
    interface Processor {
        /** Answers the request and runs {@code onProcessed} once, now or later. */
        void process(Runnable onProcessed);
    }

    /**
     * A request that waits for its turn.
     *
     * @param receivedAtMs when it arrived, by the clock of the scheduler
     */
    private record WaitingRequest(
            ServerExchange exchange, long receivedAtMs, Processor processor) {}

    OperatorRequestQueue(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Sets the replica that knows who is primary; has to precede all else. */
    void attach(Replica attached) {
        replica = attached;
    }

    /** This node became primary. */
    void onPrimacyGained() {
        isPrimary = true;
        isProcessing = false;
    }

    /** This node is no longer primary: queued requests are sent to the next one. */
    void onPrimacyLost() {
        isPrimary = false;
        isProcessing = false;
        while (!queue.isEmpty()) {
            HttpResponses.redirectToPrimary(queue.poll().exchange(), replica);
        }
    }

    /** Answers requests that have waited too long and processes the next one. */
    void tick(long nowMs) {
        while (!queue.isEmpty() && nowMs - queue.peek().receivedAtMs() > QUEUE_TIMEOUT_MS) {
            HttpResponses.unavailable(queue.poll().exchange());
        }
        processNext();
    }

    /** Accepts a request; one that can't be confirmed is answered without its processor. */
    void add(ServerExchange exchange, Processor processor) {
        if (!isPrimary) {
            HttpResponses.redirectToPrimary(exchange, replica);
            return;
        }
        queue.add(new WaitingRequest(exchange, scheduler.now(), processor));
        processNext();
    }

    private void processNext() {
        if (isProcessing || !isPrimary || queue.isEmpty() || replica.isBusy()) {
            return;
        }
        isProcessing = true;
        WaitingRequest request = queue.poll();
        replica.confirm(
                isConfirmed -> {
                    if (isConfirmed) {
                        request.processor().process(this::finish);
                    } else {
                        HttpResponses.unavailable(request.exchange());
                        finish();
                    }
                });
    }

    private void finish() {
        isProcessing = false;
        processNext();
    }
}
