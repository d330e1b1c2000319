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
        boolean isPublic,
        boolean sessionAffinity,
        boolean resumable,
        long targetEventGapMs,
        List<WeightedService> trafficSplit) {

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
    public record WeightedService(String serviceName, double weight) {}

    /**
     * Returns whether a request may be executed more than once: on idempotent routes and on
     * resumable streams.
     */
    public boolean isIdempotent() {
        return type == Type.IDEMPOTENT || (type == Type.STREAMING && resumable);
    }

    /** Returns whether responses are streams of server-sent events. */
    public boolean isStreaming() {
        return type == Type.STREAMING;
    }

    /** Parses a route; {@link Configuration} checks its values. */
    static Route parse(JsonObject json) {
        String type = json.getString("type", "non_idempotent");
        return new Route(
                json.getString("name"),
                json.getString("hostname"),
                json.getString("path_prefix"),
                switch (type) {
                    case "idempotent" -> Type.IDEMPOTENT;
                    case "streaming" -> Type.STREAMING;
                    default -> Type.NON_IDEMPOTENT;
                },
                json.getLong("timeout_ms", 0),
                json.getLong("target_latency_ms", 1_000),
                (int) json.getLong("priority", 0),
                (int) json.getLong("retries", 1),
                json.getBoolean("public"),
                json.getBoolean("session_affinity"),
                json.getBoolean("resumable"),
                json.getLong("gap_aim_ms", 0),
                parseTrafficSplit(json));
    }

    private static List<WeightedService> parseTrafficSplit(JsonObject json) {
        if (!json.has("traffic_split")) {
            return List.of(new WeightedService(json.getString("backend"), 1));
        }
        return json.getObjects("traffic_split").stream()
                .map(
                        entry ->
                                new WeightedService(
                                        entry.getString("backend"), entry.getDouble("weight", 0)))
                .toList();
    }
}
