package myrtleladder.loadbalancer.policy;

/** One upstream as the list names it; {@code launchedAt} 0 means long ago. */
public record Upstream(
        String id, int zone, int kind, int cell, State state, double rating, long launchedAt) {
    /** State of an upstream in the list. */
    public enum State {
        READY,
        DRAINING,
        GONE
    }
}
