package myrtleladder.loadbalancer.policy;

/**
 * One upstream as the endpoint list has it.
 *
 * @param id its name, kept over restarts
 * @param zone index of its zone
 * @param kind index of its kind of machine
 * @param cell index of its cell; see {@link Scope#CELL}
 * @param state whether it takes requests
 * @param rating its capacity, in the meaning of {@link Ratings}
 * @param launchedAtUs when its process started; 0 means long ago
 */
public record Upstream(
        String id, int zone, int kind, int cell, State state, double rating, long launchedAtUs) {
    /** State of an upstream in the list. */
    public enum State {
        READY,
        DRAINING,
        GONE
    }
}
