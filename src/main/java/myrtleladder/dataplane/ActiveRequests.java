package myrtleladder.dataplane;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The requests that have no final response yet, in the order in which they were started. Confined
 * to the event loop.
 */
final class ActiveRequests {
    private static final Logger LOG = LogManager.getLogger(ActiveRequests.class);

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
            checkTimeouts(request, nowMs);
        }
    }

    /** Checks the timeouts of one request; if that fails, it ends, and the others are checked. */
    private static void checkTimeouts(ProxiedRequest request, long nowMs) {
        try {
            request.checkTimeouts(nowMs);
        } catch (RuntimeException | Error e) {
            LOG.error("failed to check the timeouts of a request", e);
            request.abort();
        }
    }
}
