package myrtleladder.loadbalancer.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/** Requests that wait for room at an upstream: highest priority first, then the latest arrival. */
final class RequestQueue {
    private final KeyAffinity affinity;
    private final TreeSet<RequestState> queue =
            new TreeSet<>(
                    Comparator.<RequestState>comparingDouble(request -> -request.priority)
                            .thenComparingLong(request -> -request.sequence));

    RequestQueue(KeyAffinity affinity) {
        this.affinity = affinity;
    }

    /** Adds a request; the upstream that its key belongs to is determined anew. */
    void add(RequestState request, long nowUs) {
        request.affinityUpstream = affinity.upstreamOf(request, nowUs);
        queue.add(request);
        request.isQueued = true;
    }

    /** Removes a request; one that is not in the queue is left alone. */
    void remove(RequestState request) {
        if (request.isQueued) {
            queue.remove(request);
        }
        request.isQueued = false;
    }

    /** Puts a late request to the place that its value when late gives it. */
    void demoteLate(RequestState request, double lateFactor, long nowUs) {
        request.isLate = true;
        remove(request);
        request.priority *= lateFactor;
        add(request, nowUs);
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    int size() {
        return queue.size();
    }

    /** The first request; null if there is none. */
    RequestState first() {
        return queue.isEmpty() ? null : queue.first();
    }

    /** The request that follows another one; null if there is none. */
    RequestState following(RequestState request) {
        return queue.higher(request);
    }

    /** A copy in order, to be walked while requests come and go. */
    List<RequestState> snapshot() {
        return new ArrayList<>(queue);
    }
}
