package myrtleladder.configuration;

import java.util.List;

/**
 * A route: matches requests by host and path prefix, and defines the services that handle them,
 * timeouts, priority and retries.
 *
 * @param name {@code name}
 * @param hostname {@code hostname}, compared without regard to case
 * @param pathPrefix {@code path_prefix}; of several routes that match, the longest prefix wins
 * @param type {@code type}; default non_idempotent
 * @param timeoutMs {@code timeout_ms}: maximum duration of a request; greater than 0
 * @param targetLatencyMs {@code target_latency_ms}; default 1000
 * @param priority {@code priority}: 0 is the highest and the default
 * @param retries {@code retries}: maximum number of upstreams that a request may be sent to,
 *     including the first; default 1
 * @param isPublic {@code public}: whether requests need no API key; default false
 * @param sessionAffinity {@code session_affinity}; default false
 * @param resumable {@code resumable}: whether another upstream may resume an interrupted stream;
 *     default false
 * @param targetEventGapMs {@code gap_aim_ms}: target for the longest gap between two events of a
 *     stream; default 0
 * @param trafficSplit {@code traffic_split}, or {@code backend} as the only service
 */
public record Route(
        String name,
        String hostname,
        String pathPrefix,
        Type type,
        long timeoutMs,
        long targetLatencyMs,
        int priority,
        int retries,
        boolean open,
        boolean sessionAffinity,
        boolean resumable,
        long gapAimMs,
        List<Share> shares) {

    /** Whether requests are idempotent, or their responses are streams of events. */
    public enum Type {
        IDEMPOTENT,
        NON_IDEMPOTENT,
        STREAMING
    }

    /**
     * A service with its weight in the traffic split of a route.
     *
     * @param serviceName {@code backend}
     * @param weight {@code weight}: the service receives requests in proportion to its part of the
     *     sum of all weights; not negative
     */
    public record Share(String service, double weight) {}

    /**
     * Returns whether a request may be executed more than once: on idempotent routes and on resumable
     * streams.
     */
    public boolean repeatable() {
        return type == Type.IDEMPOTENT || (type == Type.STREAMING && resumable);
    }

    /** Returns whether responses are streams of server-sent events. */
    public boolean streaming() {
        return type == Type.STREAMING;
    }

    /** Parses a route; {@link Configuration} checks its values. */
    static Route read(Fields fields) {
        String type = fields.text("type", "non_idempotent");
        return new Route(
                fields.text("name"),
                fields.text("hostname"),
                fields.text("path_prefix"),
                switch (type) {
                    case "idempotent" -> Type.IDEMPOTENT;
                    case "streaming" -> Type.STREAMING;
                    default -> Type.NON_IDEMPOTENT;
                },
                fields.number("timeout_ms", 0),
                fields.number("target_latency_ms", 1_000),
                (int) fields.number("priority", 0),
                (int) fields.number("retries", 1),
                fields.flag("public"),
                fields.flag("session_affinity"),
                fields.flag("resumable"),
                fields.number("gap_aim_ms", 0),
                readShares(fields));
    }

    private static List<Share> readShares(Fields fields) {
        if (!fields.has("traffic_split")) {
            return List.of(new Share(fields.text("backend"), 1));
        }
        return fields.objects("traffic_split").stream()
                .map(f -> new Share(f.text("backend"), f.decimal("weight", 0)))
                .toList();
    }
}
