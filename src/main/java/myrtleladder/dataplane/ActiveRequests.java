package myrtleladder.dataplane;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The requests that have no final response yet, in the order in which they were started. Confined
 * to the event loop.
 */
final class ActiveRequests {
    private final Set<ProxiedRequest> requests = new LinkedHashSet<>();

    void add(ProxiedRequest request) {
        requests.add(request);
    }

    void remove(ProxiedRequest request) {
        requests.remove(request);
    }

    int size() {
        return requests.size();
    }

    /** Checks the timeouts of each request, which may end or retry requests. */
    void checkTimeouts(long nowMs) {
        for (ProxiedRequest request : new ArrayList<>(requests)) {
            request.checkTimeouts(nowMs);
        }
    }
}
