package myrtleladder.configuration;

/**
 * A service: a set of upstreams that are equivalent.
 *
 * @param name {@code name}
 * @param healthCheck {@code health_check}, the path of the probe; default {@code /healthz}
 * @param maxConnections {@code max_connections} to one upstream; default 100
 * @param engine {@code engine} of upstreams that run a language model, null for others
 * @param warmupMs {@code warmup_s}: how long an upstream stays cold after its start; default 0
 * @param warmupPerSecond {@code warmup_per_s}: requests a second that a cold upstream withstands,
 *     with a fraction; default 0 for no limit
 */
public record Service(
        String name,
        String healthCheck,
        int maxConnections,
        Engine engine,
        long warmupMs,
        double warmupPerSecond) {
    private static final double MS_PER_SECOND = 1_000;

    /**
     * A language model.
     *
     * @param capacity {@code capacity}: requests in one batch; default 1
     * @param kvTokens {@code kv_tokens}: tokens that the key-value cache holds; default 0
     * @param stride {@code stride}: tokens in one event of the answer; default 1
     */
    public record Engine(int capacity, long kvTokens, int stride) {}

    static Service read(Fields fields) {
        Engine engine = null;
        if (fields.has("engine")) {
            Fields part = fields.object("engine");
            engine =
                    new Engine(
                            (int) part.number("capacity", 1),
                            part.number("kv_tokens", 0),
                            (int) part.number("stride", 1));
        }
        return new Service(
                fields.text("name"),
                fields.text("health_check", "/healthz"),
                (int) fields.number("max_connections", 100),
                engine,
                Math.round(fields.decimal("warmup_s", 0) * MS_PER_SECOND),
                fields.decimal("warmup_per_s", 0));
    }
}
