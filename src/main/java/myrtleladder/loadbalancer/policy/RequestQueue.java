package myrtleladder.loadbalancer.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/**
 * Requests that wait for capacity at an upstream, in order of dispatch: highest priority first,
 * then the latest arrival.
 */
final class RequestQueue {
    private final KeyAffinity affinity;
    private final TreeSet<RequestState> queue =
            new TreeSet<>(
                    Comparator.<RequestState>comparingDouble(request -> -request.priority)
                            .thenComparingLong(request -> -request.sequence));

    RequestQueue(KeyAffinity affinity) {
        this.affinity = affinity;
    }

    /** Adds a request, and determines the upstream of its key. */
    void add(RequestState request, long nowUs) {
        request.affinityUpstream = affinity.upstreamOf(request, nowUs);
        queue.add(request);
        request.isQueued = true;
    }

    /** Removes a request; does nothing if it is not in the queue. */
    void remove(RequestState request) {
        if (request.isQueued) {
            queue.remove(request);
        }
        request.isQueued = false;
    }

    /** Lowers the priority of a late request by the factor that a late answer has on its value. */
    void demoteLate(RequestState request, double lateValueFactor, long nowUs) {
        request.isLate = true;
        remove(request);
        request.priority *= lateValueFactor;
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

    /** The request after another one in the queue; null if there is none. */
    RequestState next(RequestState request) {
        return queue.higher(request);
    }

    /** A copy in order of dispatch, to iterate over while the queue changes. */
    List<RequestState> snapshot() {
        return new ArrayList<>(queue);
    }
}
