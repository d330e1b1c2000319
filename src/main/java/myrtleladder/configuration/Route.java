package myrtleladder.configuration;

import java.util.List;

/**
 * A route: which requests go to which services, and how.
 *
 * @param name {@code name}
 * @param hostname {@code hostname}, compared without regard to case
 * @param pathPrefix {@code path_prefix}; the longest that matches wins
 * @param type {@code type}; default non_idempotent
 * @param timeoutMs {@code timeout_ms}, above 0
 * @param targetLatencyMs {@code target_latency_ms}; default 1000
 * @param priority {@code priority}; default 0
 * @param retries {@code retries}: most upstreams that one attempt may be sent to; default 1
 * @param open {@code public}: whether requests need no key; default false
 * @param sessionAffinity {@code session_affinity}; default false
 * @param resumable {@code resumable}: whether a broken stream may be resumed; default false
 * @param gapAimMs {@code gap_aim_ms}: longest pause between events that counts as in time; default
 *     0
 * @param shares {@code traffic_split}, or {@code backend} with all of the traffic
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

    /** Whether requests are idempotent, and whether answers are streamed. */
    public enum Type {
        IDEMPOTENT,
        NON_IDEMPOTENT,
        STREAMING
    }

    /**
     * The part of a route's requests that goes to one service.
     *
     * @param service {@code backend}, the name of the service
     * @param weight {@code weight}, relative to the sum of all; 0 and more
     */
    public record Share(String service, double weight) {}

    /** Whether a request may run more than once. */
    public boolean repeatable() {
        return type == Type.IDEMPOTENT || type == Type.STREAMING && resumable;
    }

    /** Whether answers come as a series of events. */
    public boolean streaming() {
        return type == Type.STREAMING;
    }

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
