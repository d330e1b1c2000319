package myrtleladder.loadbalancer.policy;

/**
 * A client's request.
 *
 * @param id identifier of the request, unique while it is open
 * @param classIndex index of its class in the settings
 * @param tenantIndex index of its tenant in the settings; an unknown tenant has no rate limit
 * @param key idempotency and affinity key; null without one
 * @param expectedWork hint of its work, in the unit of the settings; 0 without a hint
 * @param timeLeftUs time until the client gives up, microseconds; zero or negative if it has
 * @param isWrite whether it changes data
 * @param isRetry whether the client marked it as a retry
 */
public record Request(
        String id,
        int classIndex,
        int tenantIndex,
        String key,
        long expectedWork,
        long timeLeftUs,
        boolean isWrite,
        boolean isRetry) {}
