package myrtleladder.testbed.checker;

/**
 * One broken rule: when, by which request (or upstream, for a cold one that was overrun), and how.
 */
public record Violation(Kind kind, long at, String id, String text) {
    /** The rules that can be broken. */
    public enum Kind {
        /** No final answer in time, though taken. */
        LOST,
        /** Run again where that may do harm. */
        DOUBLE,
        /** Served with what no upstream made for the request. */
        SPOILT,
        /** New work for an upstream that the balancer knew to drain or to be gone. */
        AFTER_DRAIN,
        /** A cold upstream got more than it can bear. */
        COLD_OVERRUN,
        /** A request reached a machine on which work goes on. */
        OUT,
        /** A request reached an upstream that no client had sent so. */
        FOREIGN
    }
}
