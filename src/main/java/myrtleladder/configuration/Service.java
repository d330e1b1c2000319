package myrtleladder.configuration;

/**
 * A service: a set of interchangeable upstreams.
 *
 * @param name {@code name}
 * @param healthCheckPath {@code health_check}: the path of the health check; default {@code
 *     /healthz}
 * @param maxConnections {@code max_connections}: connection limit of one upstream; default 100
 * @param engine {@code engine} of upstreams that run a language model, null for other services
 * @param warmupMs {@code warmup_s}: how long an upstream is cold after its start; default 0
 * @param warmupRequestsPerSecond {@code warmup_per_s}: request rate that a cold upstream can
 *     handle, may be fractional; 0, the default, means no limit
 */
public record Service(
        String name,
        String healthCheckPath,
        int maxConnections,
        Engine engine,
        long warmupMs,
        double warmupRequestsPerSecond) {
    private static final double MS_PER_SECOND = 1_000;

    /**
     * Parameters of the inference engine that runs a language model.
     *
     * @param maxBatchSize {@code capacity}: maximum number of requests in a batch; default 1
     * @param kvCacheTokens {@code kv_tokens}: capacity of the key-value cache in tokens; default 0
     * @param tokensPerEvent {@code stride}: tokens in each event of a response; default 1
     */
    public record Engine(int maxBatchSize, long kvCacheTokens, int tokensPerEvent) {}

    /** Parses a service. */
    static Service parse(JsonObject json) {
        Engine engine = null;
        if (json.has("engine")) {
            JsonObject engineJson = json.getObject("engine");
            engine =
                    new Engine(
                            (int) engineJson.getLong("capacity", 1),
                            engineJson.getLong("kv_tokens", 0),
                            (int) engineJson.getLong("stride", 1));
        }
        return new Service(
                json.getString("name"),
                json.getString("health_check", "/healthz"),
                (int) json.getLong("max_connections", 100),
                engine,
                Math.round(json.getDouble("warmup_s", 0) * MS_PER_SECOND),
                json.getDouble("warmup_per_s", 0));
    }
}
