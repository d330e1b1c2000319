package myrtleladder.dataplane;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import myrtleladder.io.EventLoop;
import myrtleladder.io.HttpConnection;
import myrtleladder.io.RequestHead;
import myrtleladder.io.ResponseHead;

/** Connections to upstreams, kept for later requests as long as the upstream keeps them. */
final class Connections implements UpstreamLinks {
    private static final long LONGEST_REST = 4_000;
    private static final long FRESH_REST = 1_200;
    private static final long REST_MARGIN = 900;
    private static final int MOST_IDLE = 24;

    private final EventLoop loop;
    private final Map<Upstream, ArrayDeque<Connection>> idle = new HashMap<>();
    private final Map<Upstream, Integer> open = new HashMap<>();
    private long opened;

    Connections(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public int openTo(Upstream upstream) {
        return open.getOrDefault(upstream, 0);
    }

    @Override
    public int idleTo(Upstream upstream) {
        ArrayDeque<Connection> links = idle.get(upstream);
        return links == null ? 0 : links.size();
    }

    long opened() {
        return opened;
    }

    @Override
    public Link use(Upstream upstream, User user, boolean onlyFresh) {
        ArrayDeque<Connection> links = idle.computeIfAbsent(upstream, u -> new ArrayDeque<>());
        long now = loop.now();
        Connection link = links.pollLast();
        while (link != null) {
            long rest = now - link.restingSince;
            if (link.connection.ready() && rest < (onlyFresh ? FRESH_REST : link.longestRest)) {
                link.user = user;
                user.ready(link);
                return link;
            }
            link.close();
            link = links.pollLast();
        }
        Connection created = new Connection(upstream, user);
        open.merge(upstream, 1, Integer::sum);
        opened++;
        int colon = upstream.record().address.lastIndexOf(':');
        created.connection =
                HttpConnection.connect(
                        loop,
                        upstream.record().address.substring(0, colon),
                        Integer.parseInt(upstream.record().address.substring(colon + 1)),
                        created);
        return created;
    }

    /**
     * Closes connections at rest whose time is over, and those to upstreams that take no more
     * requests.
     */
    @Override
    public void closeIdle() {
        long now = loop.now();
        for (ArrayDeque<Connection> links : idle.values()) {
            Iterator<Connection> each = links.iterator();
            while (each.hasNext()) {
                Connection link = each.next();
                if (now - link.restingSince >= link.longestRest
                        || link.upstream.record().isLeaving()) {
                    each.remove();
                    link.close();
                }
            }
        }
        idle.entrySet().removeIf(e -> e.getValue().isEmpty());
    }

    /** One connection to an upstream. */
    private final class Connection implements Link, HttpConnection.Listener {
        private final Upstream upstream;
        private HttpConnection connection;
        private User user;
        private long restingSince;
        private long longestRest = LONGEST_REST;
        private boolean counted = true;

        private Connection(Upstream upstream, User user) {
            this.upstream = upstream;
            this.user = user;
        }

        @Override
        public boolean ready() {
            return connection.ready();
        }

        @Override
        public void send(RequestHead head, byte[] body) {
            connection.send(head, body);
        }

        @Override
        public void close() {
            user = null;
            connection.close();
            uncount();
        }

        private void uncount() {
            if (counted) {
                counted = false;
                open.merge(upstream, -1, Integer::sum);
                open.remove(upstream, 0);
            }
        }

        @Override
        public void connected() {
            if (user != null) {
                user.ready(this);
            }
        }

        @Override
        public void head(ResponseHead head) {
            String keepAlive = head.headers().get("Keep-Alive");
            if (keepAlive != null) {
                longestRest = restOf(keepAlive);
            }
            if (user != null) {
                user.head(head);
            }
        }

        private long restOf(String keepAlive) {
            for (String part : keepAlive.split(",")) {
                String field = part.trim();
                if (field.startsWith("timeout=")) {
                    try {
                        long told = Long.parseLong(field.substring("timeout=".length())) * 1_000;
                        return Math.min(LONGEST_REST, Math.max(0, told - REST_MARGIN));
                    } catch (NumberFormatException e) {
                        return LONGEST_REST;
                    }
                }
            }
            return LONGEST_REST;
        }

        @Override
        public void body(byte[] bytes) {
            if (user != null) {
                user.body(bytes);
            }
        }

        @Override
        public void end(boolean reusable) {
            User ended = user;
            user = null;
            if (reusable && !upstream.record().isLeaving() && idleTo(upstream) < MOST_IDLE) {
                restingSince = loop.now();
                idle.computeIfAbsent(upstream, u -> new ArrayDeque<>()).addLast(this);
            } else {
                connection.close();
                uncount();
            }
            if (ended != null) {
                ended.end();
            }
        }

        @Override
        public void closed(boolean everConnected) {
            uncount();
            ArrayDeque<Connection> links = idle.get(upstream);
            if (links != null) {
                links.remove(this);
            }
            User broken = user;
            user = null;
            if (broken != null && everConnected) {
                broken.broken();
            } else if (broken != null) {
                broken.refused();
            }
        }
    }
}
