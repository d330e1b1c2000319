package myrtleladder.loadbalancer.policy;

/**
 * A class of requests. {@code aimStretch} lengthens the aim by that multiple of the request's own
 * work.
 */
public record RequestClass(
        long aim,
        double aimStretch,
        long giveUp,
        double worth,
        double lateWorth,
        Effect effect,
        Scope scope,
        long memorySpan,
        boolean stream) {}
