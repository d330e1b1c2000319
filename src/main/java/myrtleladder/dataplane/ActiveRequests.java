package myrtleladder.dataplane;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The requests that await their final response, in order of arrival. Confined to the event loop.
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

    /** Checks each request's timeouts; requests may end or be retried meanwhile. */
    void checkTimeouts(long nowMs) {
        for (ProxiedRequest request : new ArrayList<>(requests)) {
            request.checkTimeouts(nowMs);
        }
    }
}
