package myrtleladder.configuration;

import java.util.List;

/** A tenant with its keys and its quota over all balancers together; a rate of 0 means no limit. */
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
