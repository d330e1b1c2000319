package myrtleladder.configuration;

/** A service; {@code engine} says that its upstreams run a language model. */
public record Service(String name, String healthCheck, int maxConnections, Engine engine) {

    /** A model's upstream: places in its batch, memory for tokens, and tokens in one event. */
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
                engine);
    }
}
