package myrtleladder.configuration;

import java.util.List;

/**
 * A route of the operator's configuration. {@code retries} is the most upstreams that one try may
 * be sent to, {@code gapAimMs} the longest pause between events that still counts as in time.
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

    /** What may be repeated, and how the answer comes. */
    public enum Type {
        IDEMPOTENT,
        NON_IDEMPOTENT,
        STREAMING
    }

    /** The part of a route's requests that goes to one service. */
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
