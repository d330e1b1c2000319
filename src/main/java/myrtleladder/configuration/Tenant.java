package myrtleladder.configuration;

import java.util.List;

/**
 * A tenant with its API keys and its rate limit. The limit is in tokens or requests and applies to
 * the tenant's total at all balancers. The parameters are described with their JSON fields.
 *
 * @param name {@code name}: name of the tenant
 * @param apiKeys {@code api_keys}: keys that authenticate its requests
 * @param priority {@code priority}: 0 is the highest and the default
 * @param countsTokens whether {@code unit} is tokens; the default is requests
 * @param defaultTokens {@code plain_tokens}: units charged for a request whose token usage is
 *     unknown; default 1
 * @param ratePerSecond {@code rate_per_s}: units per second; 0, the default, means no limit
 * @param burst {@code burst}: capacity of the token bucket, in units; default 0
 */
public record Tenant(
        String name,
        List<String> apiKeys,
        int priority,
        boolean countsTokens,
        long defaultTokens,
        double ratePerSecond,
        double burst) {

    /** Parses a tenant. */
    static Tenant parse(JsonObject json) {
        return new Tenant(
                json.getString("name"),
                json.getStrings("api_keys"),
                (int) json.getLong("priority", 0),
                "tokens".equals(json.getString("unit", "requests")),
                json.getLong("plain_tokens", 1),
                json.getDouble("rate_per_s", 0),
                json.getDouble("burst", 0));
    }
}
