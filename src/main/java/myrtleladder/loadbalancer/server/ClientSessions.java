package myrtleladder.loadbalancer.server;

import io.netty.channel.Channel;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The set of client connections. Limits their number to the available file descriptors, and the
 * memory of their queued requests.
 *
 * <p>Confined to the event loop.
 */
final class ClientSessions {
    /**
     * Fraction of the maximum number of connections up to which keep-alive is allowed. Beyond it,
     * each response closes its connection: closing a connection that looks idle can race with the
     * next request on it, which is then lost.
     */
    private static final double KEEP_ALIVE_FRACTION = 0.5;

    /**
     * Number of connections beyond the limit that are accepted only to reject their requests. More
     * of them would take the file descriptors needed for upstreams.
     */
    private static final int MAX_REJECTED_SESSIONS = 24;

    /**
     * Maximum memory of the queued requests of one connection, in bytes. A connection is read up to
     * this limit, since only reading detects its end.
     */
    private static final long MAX_PENDING_BYTES_PER_SESSION = 96 * 1024;

    /** Maximum memory of the queued requests of all connections, in bytes. */
    private static final long MAX_PENDING_BYTES = 4 * 1024 * 1024;

    private final int maxSessions;
    private final Set<ClientSession> sessions = new LinkedHashSet<>();

    /** Idle connections, the one idle longest first. */
    private final Set<ClientSession> idle = new LinkedHashSet<>();

    private long pendingBytes;

    ClientSessions(int maxSessions) {
        this.maxSessions = maxSessions;
    }

    /** Adds the session of a connection that the listener has accepted. */
    void opened(ClientSession session, Channel listener) {
        sessions.add(session);
        idle.add(session);
        acceptWhileNotFull(listener);
    }

    /** Removes a session whose connection is closed. */
    void closed(ClientSession session, Channel listener) {
        sessions.remove(session);
        idle.remove(session);
        acceptWhileNotFull(listener);
    }

    /** Marks a session as closing; it uses its file descriptor until {@link #closed}. */
    void closing(ClientSession session) {
        idle.remove(session);
    }

    /** Marks a session as idle: all its requests are answered. */
    void idle(ClientSession session) {
        idle.add(session);
    }

    /** Marks a session as busy with a request. */
    void busy(ClientSession session) {
        idle.remove(session);
    }

    /** Returns the session that has been idle longest. */
    Optional<ClientSession> longestIdle() {
        return idle.stream().findFirst();
    }

    private void acceptWhileNotFull(Channel listener) {
        listener.config().setAutoRead(sessions.size() < maxSessions + MAX_REJECTED_SESSIONS);
    }

    boolean isEmpty() {
        return sessions.isEmpty();
    }

    /** Whether the number of connections has reached the limit. */
    boolean isFull() {
        return sessions.size() >= maxSessions;
    }

    /** Whether the number of connections is above the limit. */
    boolean isOverLimit() {
        return sessions.size() > maxSessions;
    }

    /** Whether there are too many connections for keep-alive. */
    boolean isOverKeepAliveLimit() {
        return sessions.size() > KEEP_ALIVE_FRACTION * maxSessions;
    }

    /** Adds to the memory of queued requests; a negative value subtracts. */
    void addPendingBytes(long bytes) {
        pendingBytes += bytes;
    }

    /** Whether to stop reading a connection with this many bytes of queued requests. */
    boolean isOverPendingLimit(long bytesOfSession) {
        return bytesOfSession >= MAX_PENDING_BYTES_PER_SESSION || pendingBytes >= MAX_PENDING_BYTES;
    }
}
