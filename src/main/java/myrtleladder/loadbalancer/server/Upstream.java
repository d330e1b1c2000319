package myrtleladder.loadbalancer.server;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One upstream as the connection pool knows it: its address and its idle connections.
 *
 * <p>Confined to the event loop.
 */
final class Upstream {
    private InetSocketAddress address;
    private long startedMs;
    private boolean isReady;

    /** Idle connections, the last used one first. */
    private final Deque<UpstreamConnection> idleConnections = new ArrayDeque<>();

    /** Takes over a list entry. Closes idle connections that may not be used any more. */
    void update(InetSocketAddress newAddress, long newStartedMs, boolean isNowReady) {
        // Connections to a process that is gone end as a reset, after which a request may have run.
        boolean isReplaced = !newAddress.equals(address) || newStartedMs != startedMs;
        address = newAddress;
        startedMs = newStartedMs;
        isReady = isNowReady;
        if (isReplaced || !isReady) {
            closeIdleConnections();
        }
    }

    /** It is on the list no more. */
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

    /** Whether new requests may be sent to it: it is listed and not draining. */
    boolean isReady() {
        return isReady;
    }

    /** Idle connections, the last used one first; the caller may change them. */
    Deque<UpstreamConnection> idleConnections() {
        return idleConnections;
    }

    void closeIdleConnections() {
        while (!idleConnections.isEmpty()) {
            idleConnections.poll().close();
        }
    }
}
