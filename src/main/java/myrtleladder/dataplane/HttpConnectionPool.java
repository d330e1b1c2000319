package myrtleladder.dataplane;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import myrtleladder.eventloop.EventLoop;
import myrtleladder.http.HttpConnection;
import myrtleladder.http.RequestHead;
import myrtleladder.http.ResponseHead;

/**
 * Pools HTTP/1.1 connections. Idle connections are reused, the most recently used one first, and
 * closed before the keep-alive timeout of the upstream. Confined to the event loop.
 */
final class HttpConnectionPool implements ConnectionPool {
    /** Maximum idle time of a connection. */
    private static final long MAX_IDLE_MS = 4_000;

    /** Maximum idle time of a connection that counts as recently used. */
    private static final long RECENTLY_USED_MS = 1_200;

    /** How long before the upstream's keep-alive timeout an idle connection is closed. */
    private static final long KEEP_ALIVE_MARGIN_MS = 900;

    /** Maximum number of idle connections to an upstream. */
    private static final int MAX_IDLE_CONNECTIONS = 24;

    private static final String KEEP_ALIVE_TIMEOUT = "timeout=";

    private final EventLoop loop;
    private final Map<Upstream, ArrayDeque<PooledHttpConnection>> idleByUpstream = new HashMap<>();
    private final Map<Upstream, Integer> openCountByUpstream = new HashMap<>();

    HttpConnectionPool(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public int openConnections(Upstream upstream) {
        return openCountByUpstream.getOrDefault(upstream, 0);
    }

    @Override
    public int idleConnections(Upstream upstream) {
        ArrayDeque<PooledHttpConnection> connections = idleByUpstream.get(upstream);
        return connections == null ? 0 : connections.size();
    }

    @Override
    public PooledConnection acquire(
            Upstream upstream, ResponseListener listener, boolean recentlyUsedOnly) {
        PooledHttpConnection reused = pollIdle(upstream, recentlyUsedOnly);
        if (reused != null) {
            reused.listener = listener;
            listener.onConnectionReady(reused);
            return reused;
        }
        PooledHttpConnection created = new PooledHttpConnection(upstream, listener);
        openCountByUpstream.merge(upstream, 1, Integer::sum);
        created.connection = HttpConnection.connect(loop, upstream.record().address, created);
        return created;
    }

    /** Removes the most recently used idle connection that is usable; null if there is none. */
    private PooledHttpConnection pollIdle(Upstream upstream, boolean recentlyUsedOnly) {
        ArrayDeque<PooledHttpConnection> connections = idleQueue(upstream);
        long nowMs = loop.now();
        PooledHttpConnection connection = connections.pollLast();
        while (connection != null) {
            long maxIdleMs = recentlyUsedOnly ? RECENTLY_USED_MS : connection.maxIdleMs;
            if (connection.canSend() && nowMs - connection.idleSinceMs < maxIdleMs) {
                return connection;
            }
            connection.close();
            connection = connections.pollLast();
        }
        return null;
    }

    private ArrayDeque<PooledHttpConnection> idleQueue(Upstream upstream) {
        return idleByUpstream.computeIfAbsent(upstream, key -> new ArrayDeque<>());
    }

    @Override
    public void closeExpired() {
        long nowMs = loop.now();
        for (ArrayDeque<PooledHttpConnection> connections : idleByUpstream.values()) {
            Iterator<PooledHttpConnection> iterator = connections.iterator();
            while (iterator.hasNext()) {
                PooledHttpConnection connection = iterator.next();
                boolean expired = nowMs - connection.idleSinceMs >= connection.maxIdleMs;
                if (expired || connection.upstream.record().isLeaving()) {
                    iterator.remove();
                    connection.close();
                }
            }
        }
        idleByUpstream.values().removeIf(ArrayDeque::isEmpty);
    }

    /** Returns the maximum idle time of a connection according to a Keep-Alive field. */
    private static long parseMaxIdleMs(String keepAlive) {
        for (String parameter : keepAlive.split(",")) {
            String trimmed = parameter.trim();
            if (trimmed.startsWith(KEEP_ALIVE_TIMEOUT)) {
                return maxIdleMsForTimeout(trimmed.substring(KEEP_ALIVE_TIMEOUT.length()));
            }
        }
        return MAX_IDLE_MS;
    }

    private static long maxIdleMsForTimeout(String seconds) {
        try {
            long timeoutMs = Long.parseLong(seconds) * 1_000;
            return Math.min(MAX_IDLE_MS, Math.max(0, timeoutMs - KEEP_ALIVE_MARGIN_MS));
        } catch (NumberFormatException e) {
            return MAX_IDLE_MS;
        }
    }

    /** A connection to an upstream; its listener is null while it is idle or closed. */
    private final class PooledHttpConnection implements PooledConnection, HttpConnection.Listener {
        private final Upstream upstream;
        private HttpConnection connection;
        private ResponseListener listener;
        private long idleSinceMs;
        private long maxIdleMs = MAX_IDLE_MS;
        private boolean isCountedAsOpen = true;

        private PooledHttpConnection(Upstream upstream, ResponseListener listener) {
            this.upstream = upstream;
            this.listener = listener;
        }

        @Override
        public boolean canSend() {
            return connection.ready();
        }

        @Override
        public void send(RequestHead head, byte[] body) {
            connection.send(head, body);
        }

        @Override
        public void close() {
            listener = null;
            connection.close();
            decrementOpenCount();
        }

        private void decrementOpenCount() {
            if (isCountedAsOpen) {
                isCountedAsOpen = false;
                openCountByUpstream.merge(upstream, -1, Integer::sum);
                openCountByUpstream.remove(upstream, 0);
            }
        }

        @Override
        public void connected() {
            if (listener != null) {
                listener.onConnectionReady(this);
            }
        }

        @Override
        public void head(ResponseHead head) {
            String keepAlive = head.headers().get("Keep-Alive");
            if (keepAlive != null) {
                maxIdleMs = parseMaxIdleMs(keepAlive);
            }
            if (listener != null) {
                listener.onResponseHead(head);
            }
        }

        @Override
        public void body(byte[] bytes) {
            if (listener != null) {
                listener.onResponseBody(bytes);
            }
        }

        @Override
        public void end(boolean reusable) {
            ResponseListener completed = listener;
            listener = null;
            boolean isBelowIdleLimit = idleConnections(upstream) < MAX_IDLE_CONNECTIONS;
            if (reusable && !upstream.record().isLeaving() && isBelowIdleLimit) {
                idleSinceMs = loop.now();
                idleQueue(upstream).addLast(this);
            } else {
                connection.close();
                decrementOpenCount();
            }
            if (completed != null) {
                completed.onResponseComplete();
            }
        }

        @Override
        public void closed(boolean everConnected) {
            decrementOpenCount();
            ArrayDeque<PooledHttpConnection> connections = idleByUpstream.get(upstream);
            if (connections != null) {
                connections.remove(this);
            }
            ResponseListener interrupted = listener;
            listener = null;
            if (interrupted != null && everConnected) {
                interrupted.onConnectionLost();
            } else if (interrupted != null) {
                interrupted.onConnectFailed();
            }
        }
    }
}
