package myrtleladder.http;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import myrtleladder.eventloop.EventLoop;

/**
 * The memory and the connections that the clients of all servers of a process may use together.
 *
 * <p>Each connection reserves the memory that it needs for incomplete and complete requests and for
 * responses that its client has not read. If a reservation does not fit, the connection that holds
 * most for longest without finishing gives way ({@link ServerConnection#shed}); requests that are
 * being answered do not. Connections with little memory may use all of it, the others {@link
 * #LARGE_SHARE}, so that small requests find room while large ones fill theirs.
 *
 * <p>Threading: confined to the event loop, except for the constructor and {@link #add}.
 */
public final class ServerResources {
    /** The part of the heap, as one in so many, that clients may use. */
    private static final int HEAP_DIVISOR = 4;

    /** Descriptors that are left to files of the program itself. */
    private static final int RESERVED_DESCRIPTORS = 200;

    /** The part of the remaining descriptors for clients; the rest is for outgoing connections. */
    private static final double CLIENT_DESCRIPTOR_SHARE = 0.75;

    /** Memory of a connection on which nothing is sent. */
    private static final long BYTES_PER_CONNECTION = 8 * 1_024;

    /** The part of the memory that connections with more than {@link #SMALL_BYTES} may use. */
    private static final double LARGE_SHARE = 0.75;

    /** Up to this many bytes a connection holds little memory. */
    private static final long SMALL_BYTES = 64 * 1_024;

    /** How many times the largest body must fit into the memory. */
    private static final double LARGEST_BODIES = 1.5;

    /** Interval at which timeouts are checked. */
    private static final long SWEEP_INTERVAL_MS = 500;

    /** Number of descriptors if the machine's settings name none. */
    static final int DEFAULT_DESCRIPTORS = 1_024;

    private final EventLoop loop;
    private final RefusalLog refusals;
    private final long heapShareBytes;
    private final int maxConnections;
    private final List<HttpServer> servers = new ArrayList<>();
    private final Set<ServerConnection> connections = new LinkedHashSet<>();
    private long capacityBytes;
    private long heldBytes;

    /**
     * Creates the resources of a process whose heap is that of this virtual machine.
     *
     * @param descriptors how many descriptors the process may have open
     * @param log writes a line about refused clients to the log
     */
    public ServerResources(EventLoop loop, int descriptors, Consumer<String> log) {
        this(loop, descriptors, Runtime.getRuntime().maxMemory(), log);
    }

    ServerResources(EventLoop loop, int descriptors, long heapBytes, Consumer<String> log) {
        this.refusals = new RefusalLog(loop.now(), log);
        this.loop = loop;
        this.heapShareBytes = heapBytes / HEAP_DIVISOR;
        this.capacityBytes = heapShareBytes;
        long byDescriptors =
                Math.round((descriptors - RESERVED_DESCRIPTORS) * CLIENT_DESCRIPTOR_SHARE);
        long byMemory = heapShareBytes / BYTES_PER_CONNECTION;
        this.maxConnections = (int) Math.max(1, Math.min(byDescriptors, byMemory));
        loop.execute(this::sweep);
    }

    /** Adds a server, whose connections are counted from now on. May be called on any thread. */
    void add(HttpServer server) {
        loop.execute(
                () -> {
                    servers.add(server);
                    updateCapacity();
                });
    }

    /** Returns how many bytes the connections hold. */
    public long heldBytes() {
        return heldBytes;
    }

    /** Returns how many bytes the connections may hold. */
    long capacityBytes() {
        return capacityBytes;
    }

    /** Returns the number of connections. */
    public int connections() {
        return connections.size();
    }

    /** Returns how often clients were refused for a reason. */
    public long refusals(Refusal reason) {
        return refusals.count(reason);
    }

    /** Counts a client of a port that was refused. */
    void count(int port, Refusal reason) {
        refusals.count(port, reason);
    }

    /** Counts a client that was closed because of an unread answer, and names it in the log. */
    void countClosed(UnreadAnswer closed) {
        refusals.countClosed(closed, loop.now());
    }

    /**
     * Counts a new connection; if there are too many, one on which no response is due and that has
     * been idle for longest is closed, or else the new one.
     */
    void connected(ServerConnection connection) {
        if (connections.size() >= maxConnections) {
            count(connection.server().port(), Refusal.TOO_MANY_CONNECTIONS);
            ServerConnection victim = longestWithoutService();
            if (victim == null) {
                connection.terminate();
                return;
            }
            victim.terminate();
        }
        connections.add(connection);
    }

    void disconnected(ServerConnection connection) {
        connections.remove(connection);
    }

    /**
     * Reserves memory for a connection.
     *
     * @return whether it fits; if not, the connection itself may have been shed
     */
    boolean reserve(ServerConnection connection, long bytes) {
        while (!fits(connection.heldBytes(), bytes)) {
            ServerConnection victim = heaviest();
            if (victim == null) {
                return false;
            }
            victim.shed();
            if (victim == connection) {
                return false;
            }
        }
        heldBytes += bytes;
        return true;
    }

    /** Counts memory that is already in use; connections give way later if it does not fit. */
    void charge(long bytes) {
        heldBytes += bytes;
        if (bytes > 0 && heldBytes > capacityBytes) {
            loop.execute(this::shedExcess);
        }
    }

    void release(long bytes) {
        heldBytes -= bytes;
    }

    private void shedExcess() {
        ServerConnection victim = heldBytes > capacityBytes ? heaviest() : null;
        while (victim != null) {
            victim.shed();
            victim = heldBytes > capacityBytes ? heaviest() : null;
        }
    }

    private boolean fits(long ownBytes, long moreBytes) {
        boolean isSmall = ownBytes + moreBytes <= SMALL_BYTES;
        double bound = isSmall ? capacityBytes : capacityBytes * LARGE_SHARE;
        return heldBytes + moreBytes <= bound;
    }

    /** Returns the connection that holds most for longest without finishing, null if none does. */
    private ServerConnection heaviest() {
        long nowMs = loop.now();
        ServerConnection heaviest = null;
        double most = 0;
        for (ServerConnection connection : connections) {
            connection.updateOutput(nowMs);
            double weight =
                    (double) connection.sheddableBytes() * (1 + connection.unfinishedMs(nowMs));
            if (weight > most) {
                most = weight;
                heaviest = connection;
            }
        }
        return heaviest;
    }

    /** Returns a connection that can be closed in favour of a new one, null if there is none. */
    private ServerConnection longestWithoutService() {
        ServerConnection longest = null;
        for (ServerConnection connection : connections) {
            if (!connection.isAnswerDue()
                    && (longest == null || connection.isWorthLessThan(longest))) {
                longest = connection;
            }
        }
        return longest;
    }

    private void sweep() {
        loop.schedule(SWEEP_INTERVAL_MS, this::sweep);
        for (HttpServer server : servers) {
            server.closeExpired();
        }
        updateCapacity();
        refusals.writeSummary(usage(), loop.now());
    }

    private void updateCapacity() {
        long largestBody = 0;
        for (HttpServer server : servers) {
            largestBody = Math.max(largestBody, server.limits().maxBodyBytes());
        }
        capacityBytes = Math.max(heapShareBytes, Math.round(largestBody * LARGEST_BODIES));
    }

    private String usage() {
        return "%d connections of %d, %d bytes of %d"
                .formatted(connections.size(), maxConnections, heldBytes, capacityBytes);
    }
}
