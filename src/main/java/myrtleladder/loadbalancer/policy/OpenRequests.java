package myrtleladder.loadbalancer.policy;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * The requests that are owed a final answer or have outstanding attempts, and the final answers
 * that this balancer gives of its own: rejections and failures.
 */
final class OpenRequests {
    private final Limits limits;
    private final RequestQueue queue;
    private final DeadlineTimer deadlines;
    private final RequestStatistics statistics;
    private final LoadBalancer.Actions actions;
    private final Map<String, RequestState> byId = new HashMap<>();

    OpenRequests(
            Limits limits,
            RequestQueue queue,
            DeadlineTimer deadlines,
            RequestStatistics statistics,
            LoadBalancer.Actions actions) {
        this.limits = limits;
        this.queue = queue;
        this.deadlines = deadlines;
        this.statistics = statistics;
        this.actions = actions;
    }

    /** Adds a request, which is queued from here on. */
    void add(RequestState request, long nowUs) {
        byId.put(request.request.id(), request);
        deadlines.add(request);
        queue.add(request, nowUs);
    }

    /** The request with that name; null if it is not open. */
    RequestState get(String id) {
        return byId.get(id);
    }

    /** All of them, in no order. */
    Collection<RequestState> all() {
        return byId.values();
    }

    /** Gives their final answers to those whose deadlines are close. */
    void finishDue(long nowUs) {
        RequestState due = deadlines.pollDue(nowUs);
        while (due != null) {
            finish(due, nowUs);
            due = deadlines.pollDue(nowUs);
        }
    }

    /** Gives a request that could not be served its final answer: a rejection where permitted. */
    void finish(RequestState request, long nowUs) {
        queue.remove(request);
        if (RetryPolicy.mayReject(request)) {
            actions.refuse(request.request.id(), retryAfterUs(request));
            if (!request.request.isRetry()) {
                statistics.recordRejection(
                        request.request.classIndex(), nowUs - request.arrivedAtUs);
            }
        } else {
            actions.fail(request.request.id());
        }
        conclude(request);
    }

    /**
     * When to come back: what is queued now is served or rejected within its latency target, so
     * that the queue is new then. 0 gives no advice.
     */
    private long retryAfterUs(RequestState request) {
        return limits.retryAfter()
                ? Math.min(request.requestClass.latencyTargetUs(), limits.maxRetryAfterUs())
                : 0;
    }

    /** Nothing is owed any more: cancels what is outstanding, unless the answer is streaming. */
    void conclude(RequestState request) {
        queue.remove(request);
        request.isEnded = true;
        if (limits.cancel() && !request.isStreaming) {
            cancelOutstanding(request);
        }
        removeIfDone(request);
    }

    private void cancelOutstanding(RequestState request) {
        for (int i = 0; i < request.attempts.size(); i++) {
            if (request.attempts.get(i).isOutstanding) {
                actions.cancel(request.request.id(), i);
            }
        }
    }

    /** Forgets an ended request once no attempt of it is outstanding. */
    void removeIfDone(RequestState request) {
        if (request.outstandingAttempts() == 0) {
            byId.remove(request.request.id());
        }
    }
}
