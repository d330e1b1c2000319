package myrtleladder.loadbalancer.policy;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * The requests that need a final answer or have outstanding attempts. Gives the final answers that
 * do not come from an upstream: rejections and failures.
 */
final class OpenRequests {
    private final Limits limits;
    private final RequestQueue queue;
    private final DeadlineTimer deadlineTimer;
    private final RequestStatistics statistics;
    private final LoadBalancer.Actions actions;
    private final Map<String, RequestState> byId = new HashMap<>();

    OpenRequests(
            Limits limits,
            RequestQueue queue,
            DeadlineTimer deadlineTimer,
            RequestStatistics statistics,
            LoadBalancer.Actions actions) {
        this.limits = limits;
        this.queue = queue;
        this.deadlineTimer = deadlineTimer;
        this.statistics = statistics;
        this.actions = actions;
    }

    /** Adds a new request and queues it. */
    void add(RequestState request, long nowUs) {
        byId.put(request.request.id(), request);
        deadlineTimer.add(request);
        queue.add(request, nowUs);
    }

    /** The request with that identifier; null if it is not open. */
    RequestState get(String id) {
        return byId.get(id);
    }

    /** All open requests, in no particular order. */
    Collection<RequestState> all() {
        return byId.values();
    }

    /** Gives a final answer to each request whose deadline is close. */
    void rejectOrFailDue(long nowUs) {
        RequestState due = deadlineTimer.pollDue(nowUs);
        while (due != null) {
            rejectOrFail(due, nowUs);
            due = deadlineTimer.pollDue(nowUs);
        }
    }

    /**
     * Gives a final answer to a request that could not be served: a rejection if permitted, else a
     * failure.
     */
    void rejectOrFail(RequestState request, long nowUs) {
        queue.remove(request);
        if (RetryPolicy.mayReject(request)) {
            actions.reject(request.request.id(), retryAfterUs(request));
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
     * The retry-after time: after one latency target, all requests that are queued now have been
     * served or rejected. 0 gives no retry-after time.
     */
    private long retryAfterUs(RequestState request) {
        return limits.retryAfter()
                ? Math.min(request.requestClass.latencyTargetUs(), limits.maxRetryAfterUs())
                : 0;
    }

    /**
     * Ends a request that no longer needs an answer. Cancels its outstanding attempts unless the
     * answer is being streamed.
     */
    void conclude(RequestState request) {
        queue.remove(request);
        request.isEnded = true;
        if (limits.cancellation() && !request.isStreaming) {
            cancelOutstanding(request);
        }
        removeIfDone(request);
    }

    private void cancelOutstanding(RequestState request) {
        for (int i = 0; i < request.attempts.size(); i++) {
            if (request.attempts.get(i).isOutstanding) {
                actions.cancelAttempt(request.request.id(), i);
            }
        }
    }

    /** Removes an ended request if no attempt of it is outstanding. */
    void removeIfDone(RequestState request) {
        if (request.outstandingAttempts() == 0) {
            byId.remove(request.request.id());
        }
    }
}
