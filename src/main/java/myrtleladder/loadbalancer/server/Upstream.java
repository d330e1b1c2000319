package myrtleladder.loadbalancer.server;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The state that the connection pool keeps for one upstream: its address, the start time of its
 * process, whether it is ready, and its idle connections.
 *
 * <p>Confined to the event loop.
 */
final class Upstream {
    private InetSocketAddress address;
    private long startedMs;
    private boolean isReady;

    /** Idle connections, the most recently used one first. */
    private final Deque<UpstreamConnection> idleConnections = new ArrayDeque<>();

    /**
     * Applies an entry of the endpoint list. Closes the idle connections if the address or the
     * start time has changed, or if the upstream is not ready.
     *
     * @param newStartedMs start of the upstream's process in Unix ms; 0 if long ago
     */
    void update(InetSocketAddress newAddress, long newStartedMs, boolean isNowReady) {
        // A request on a connection to a process that is gone ends with a reset, after which it is
        // not known whether it has run.
        boolean isReplaced = !newAddress.equals(address) || newStartedMs != startedMs;
        address = newAddress;
        startedMs = newStartedMs;
        isReady = isNowReady;
        if (isReplaced || !isReady) {
            closeIdleConnections();
        }
    }

    /**
     * Marks the upstream as not ready and closes its idle connections. Called when the upstream is
     * no longer in the endpoint list.
     */
    void remove() {
        isReady = false;
        closeIdleConnections();
    }

    InetSocketAddress address() {
        return address;
    }

    /** Start of the upstream's process in Unix ms; 0 if long ago. */
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
