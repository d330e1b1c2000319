package myrtleladder.loadbalancer.server;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The connection pool's state of one upstream: its address and its idle connections.
 *
 * <p>Confined to the event loop.
 */
final class Upstream {
    private InetSocketAddress address;
    private long startedMs;
    private boolean isReady;

    /** Idle connections, the most recently used one first. */
    private final Deque<UpstreamConnection> idleConnections = new ArrayDeque<>();

    /** Applies an entry of the endpoint list; closes idle connections that must not be reused. */
    void update(InetSocketAddress newAddress, long newStartedMs, boolean isNowReady) {
        // A request on a connection to a process that is gone ends with a reset, and may have run.
        boolean isReplaced = !newAddress.equals(address) || newStartedMs != startedMs;
        address = newAddress;
        startedMs = newStartedMs;
        isReady = isNowReady;
        if (isReplaced || !isReady) {
            closeIdleConnections();
        }
    }

    /** Handles the removal of the upstream from the endpoint list. */
    void remove() {
        isReady = false;
        closeIdleConnections();
    }

    InetSocketAddress address() {
        return address;
    }

    /** Start of the upstream's process in Unix ms. */
    long startedMs() {
        return startedMs;
    }

    /** Whether new requests may be sent: the upstream is listed and not draining. */
    boolean isReady() {
        return isReady;
    }

    /** Returns the idle connections, the most recently used one first, as a modifiable deque. */
    Deque<UpstreamConnection> idleConnections() {
        return idleConnections;
    }

    void closeIdleConnections() {
        while (!idleConnections.isEmpty()) {
            idleConnections.poll().close();
        }
    }
}
