package myrtleladder.loadbalancer.policy;

/** The end of an attempt; {@code concluded} says that the request needs no further answer. */
public record AttemptEnd(
        String request,
        int attempt,
        String upstream,
        Outcome outcome,
        long took,
        boolean concluded,
        LoadReport load) {}
