package myrtleladder.loadbalancer.policy;

/** A request; {@code expectedWork} is 0 without a hint, {@code key} null without a key. */
public record Request(
        String id,
        int classIndex,
        int tenant,
        String key,
        long expectedWork,
        long timeLeft,
        boolean write,
        boolean retry) {}
