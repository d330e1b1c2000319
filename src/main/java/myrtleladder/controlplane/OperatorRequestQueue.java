package myrtleladder.controlplane;

import java.util.ArrayDeque;
import myrtleladder.http.ServerExchange;
import myrtleladder.replication.Replica;
import myrtleladder.scheduler.Scheduler;

/**
 * Queue of operators' requests that read or change the replicated state. The primary processes them
 * one at a time, each after a majority has confirmed since its arrival that this node is still
 * primary ({@link Replica#confirm}). If a request waits too long or the primary is not confirmed,
 * the response is 503 and the operator retries.
 *
 * <p>Confined to the event loop.
 */
final class OperatorRequestQueue {
    /** Maximum time that a request waits in the queue before it is answered with 503. */
    private static final long QUEUE_TIMEOUT_MS = 900;

    private final Scheduler scheduler;
    private final ArrayDeque<WaitingRequest> queue = new ArrayDeque<>();
    private Replica replica;
    private boolean isPrimary;
    private boolean isProcessing;

    /** Processes a request after this node has been confirmed as primary. */
    interface Processor {
        /** Responds to the request and runs {@code onProcessed} exactly once, possibly later. */
        void process(Runnable onProcessed);
    }

    /**
     * A queued request.
     *
     * @param receivedAtMs arrival time on the scheduler's clock, in milliseconds
     */
    private record WaitingRequest(
            ServerExchange exchange, long receivedAtMs, Processor processor) {}

    OperatorRequestQueue(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Sets the replica that confirms the primary. Must be called before any other method. */
    void attach(Replica attached) {
        replica = attached;
    }

    /** Called when this node becomes primary. */
    void onPrimacyGained() {
        isPrimary = true;
        isProcessing = false;
    }

    /**
     * Called when this node is no longer primary; redirects queued requests to the next primary.
     */
    void onPrimacyLost() {
        isPrimary = false;
        isProcessing = false;
        while (!queue.isEmpty()) {
            HttpResponses.redirectToPrimary(queue.poll().exchange(), replica);
        }
    }

    /** Responds to the requests that have waited too long and processes the next one. */
    void tick(long nowMs) {
        while (!queue.isEmpty() && nowMs - queue.peek().receivedAtMs() > QUEUE_TIMEOUT_MS) {
            HttpResponses.sendUnavailable(queue.poll().exchange());
        }
        processNext();
    }

    /**
     * Queues a request. If this node cannot be confirmed as primary, the request is answered
     * without calling the processor.
     */
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
                        HttpResponses.sendUnavailable(request.exchange());
                        finish();
                    }
                });
    }

    private void finish() {
        isProcessing = false;
        processNext();
    }
}
