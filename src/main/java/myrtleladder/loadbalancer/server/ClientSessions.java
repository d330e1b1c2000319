package myrtleladder.loadbalancer.server;

import io.netty.channel.Channel;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The client connections: keeps their number within the descriptors, and the memory of their
 * pending requests within its limit.
 *
 * <p>Confined to the event loop.
 */
final class ClientSessions {
    /**
     * Part of the connections that are kept between requests. With more, a response closes its
     * connection: to close one that looks idle can cross with the next request on it, which is then
     * lost.
     */
    private static final double KEPT_PART = 0.5;

    /**
     * Clients beyond the limit that are accepted in order to be rejected; with more, upstreams
     * would lack descriptors.
     */
    private static final int MAX_REJECTED_SESSIONS = 24;

    /**
     * Memory of the pending requests of one connection, in bytes. Up to there a connection is read
     * on, since its end is seen in no other way.
     */
    private static final long MAX_PENDING_BYTES_PER_SESSION = 96 * 1024;

    /** The same of all connections. */
    private static final long MAX_PENDING_BYTES = 4 * 1024 * 1024;

    private final int maxSessions;
    private final Set<ClientSession> all = new LinkedHashSet<>();

    /** The connections between requests. */
    private final Set<ClientSession> idle = new LinkedHashSet<>();

    private long pendingBytes;

    ClientSessions(int maxSessions) {
        this.maxSessions = maxSessions;
    }

    /** A new session, of a connection that this listener accepted. */
    void opened(ClientSession session, Channel listener) {
        all.add(session);
        idle.add(session);
        acceptWhileNotFull(listener);
    }

    /** The connection of a session is closed. */
    void closed(ClientSession session, Channel listener) {
        all.remove(session);
        idle.remove(session);
        acceptWhileNotFull(listener);
    }

    /** It sends nothing more; it keeps its descriptor until its client has seen that. */
    void closing(ClientSession session) {
        idle.remove(session);
    }

    /** It has answered all its requests. */
    void idle(ClientSession session) {
        idle.add(session);
    }

    /** It has a request. */
    void busy(ClientSession session) {
        idle.remove(session);
    }

    /** The session that has been idle longest. */
    Optional<ClientSession> firstIdle() {
        return idle.stream().findFirst();
    }

    private void acceptWhileNotFull(Channel listener) {
        listener.config().setAutoRead(all.size() < maxSessions + MAX_REJECTED_SESSIONS);
    }

    boolean isEmpty() {
        return all.isEmpty();
    }

    /** Whether there are as many connections as are served. */
    boolean isFull() {
        return all.size() >= maxSessions;
    }

    /** Whether there are more connections than are served. */
    boolean isOverLimit() {
        return all.size() > maxSessions;
    }

    /** Whether there are more connections than are kept between requests. */
    boolean isOverKeptLimit() {
        return all.size() > KEPT_PART * maxSessions;
    }

    /** Counts memory of pending requests; negative once they are pending no more. */
    void addPendingBytes(long bytes) {
        pendingBytes += bytes;
    }

    /** Whether a connection with so many bytes of pending requests is to be read no further. */
    boolean isOverPendingLimit(long bytesOfSession) {
        return bytesOfSession >= MAX_PENDING_BYTES_PER_SESSION || pendingBytes >= MAX_PENDING_BYTES;
    }
}
