package myrtleladder.controlplane;

import java.util.ArrayDeque;
import java.util.Optional;
import myrtleladder.http.ServerExchange;
import myrtleladder.replication.Replica;
import myrtleladder.scheduler.Scheduler;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Queue of operators' requests that read or change the replicated state. The primary processes them
 * one at a time, each after a majority has confirmed since its arrival that this node is still
 * primary ({@link Replica#confirm}). If a request waits too long or the primary is not confirmed,
 * the response is 503 and the operator retries.
 *
 * <p>Invariant: a request that fails in any way, also by an unexpected exception, is answered and
 * leaves the queue, so that the next one is processed. Only this class decides when a request has
 * been processed. Confined to the event loop.
 */
final class OperatorRequestQueue {
    private static final Logger LOG = LogManager.getLogger(OperatorRequestQueue.class);

    /** Maximum time that a request waits in the queue before it is answered with 503. */
    private static final long QUEUE_TIMEOUT_MS = 900;

    private final Scheduler scheduler;
    private final ArrayDeque<QueuedRequest> queue = new ArrayDeque<>();
    private Replica replica;
    private boolean isPrimary;

    /** The request that is being processed, null if there is none. */
    private QueuedRequest current;

    /** Processes a request after this node has been confirmed as primary. */
    interface Processor {
        /**
         * Responds to the request and returns empty, or returns the change that has to be committed
         * before the response. May throw an exception, upon which the response is 500.
         */
        Optional<ProposedChange> process();
    }

    /** A request that waits or is being processed; compared by identity. */
    private static final class QueuedRequest {
        final ServerExchange exchange;
        final Processor processor;

        /** Arrival time on the scheduler's clock, in milliseconds. */
        final long receivedAtMs;

        QueuedRequest(ServerExchange exchange, Processor processor, long receivedAtMs) {
            this.exchange = exchange;
            this.processor = processor;
            this.receivedAtMs = receivedAtMs;
        }
    }

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
        current = null;
    }

    /**
     * Called when this node is no longer primary; redirects queued requests to the next primary.
     */
    void onPrimacyLost() {
        isPrimary = false;
        current = null;
        while (!queue.isEmpty()) {
            HttpResponses.redirectToPrimary(queue.poll().exchange, replica);
        }
    }

    /** Responds to the requests that have waited too long and processes the next one. */
    void tick(long nowMs) {
        while (!queue.isEmpty() && nowMs - queue.peek().receivedAtMs > QUEUE_TIMEOUT_MS) {
            HttpResponses.sendUnavailable(queue.poll().exchange);
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
        queue.add(new QueuedRequest(exchange, processor, scheduler.now()));
        processNext();
    }

    private void processNext() {
        if (current != null || !isPrimary || queue.isEmpty() || replica.isBusy()) {
            return;
        }
        QueuedRequest request = queue.poll();
        current = request;
        replica.confirm(isConfirmed -> onConfirmed(request, isConfirmed));
    }

    private void onConfirmed(QueuedRequest request, boolean isConfirmed) {
        if (!isConfirmed) {
            HttpResponses.sendUnavailable(request.exchange);
            finish(request);
            return;
        }
        runOrFail(request, () -> process(request));
    }

    private void process(QueuedRequest request) {
        Optional<ProposedChange> proposed = request.processor.process();
        if (proposed.isEmpty()) {
            finish(request);
            return;
        }
        Runnable onCommitted = proposed.get().onCommitted();
        replica.submit(
                proposed.get().change(),
                isCommitted -> onSubmitted(request, onCommitted, isCommitted));
    }

    private void onSubmitted(QueuedRequest request, Runnable onCommitted, boolean isCommitted) {
        if (isCommitted) {
            runOrFail(request, onCommitted);
        } else {
            HttpResponses.sendUnavailable(request.exchange);
        }
        finish(request);
    }

    /** Runs a step of a request; if it throws an exception, the request fails with 500. */
    private void runOrFail(QueuedRequest request, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            LOG.error(
                    "failed to process {} {}",
                    request.exchange.head().method(),
                    request.exchange.head().target(),
                    e);
            HttpResponses.sendEmpty(request.exchange, HttpResponses.INTERNAL_SERVER_ERROR);
            finish(request);
        }
    }

    /** Processes the next request, unless the given one is no longer the current one. */
    private void finish(QueuedRequest request) {
        if (current == request) {
            current = null;
            processNext();
        }
    }
}
