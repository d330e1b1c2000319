package myrtleladder.configuration;

import java.util.List;

/**
 * A tenant with its keys and its quota, which holds over all balancers together.
 *
 * @param name {@code name}
 * @param keys {@code api_keys} by which its requests are recognized
 * @param priority {@code priority}; default 0
 * @param countsTokens whether {@code unit} is tokens rather than requests, the default
 * @param plainTokens {@code plain_tokens}: units of a request whose tokens are not known; default 1
 * @param ratePerSecond {@code rate_per_s}, in units; 0, the default, means no limit
 * @param burst {@code burst}, in units; default 0
 */
public record Tenant(
        String name,
        List<String> keys,
        int priority,
        boolean countsTokens,
        long plainTokens,
        double ratePerSecond,
        double burst) {

    static Tenant read(Fields fields) {
        return new Tenant(
                fields.text("name"),
                fields.texts("api_keys"),
                (int) fields.number("priority", 0),
                "tokens".equals(fields.text("unit", "requests")),
                fields.number("plain_tokens", 1),
                fields.decimal("rate_per_s", 0),
                fields.decimal("burst", 0));
    }
}
