package myrtleladder.testbed.checker;

/**
 * One violation of a rule. The names of components and kinds are part of {@code record.jsonl} and
 * of the verdict line.
 *
 * @param kind the rule
 * @param at when it was found, in microseconds of the checker's clock
 * @param id the request; for {@link Kind#COLD_OVERRUN} the upstream
 * @param text what happened, for people
 */
public record Violation(Kind kind, long at, String id, String text) {
    /** The rules that can be violated. */
    public enum Kind {
        /** An accepted request got no final response in time. */
        LOST,
        /** A request was sent again, or got a second response, where that may do harm. */
        DOUBLE,
        /** A response was served with a body that no upstream produced for the request. */
        SPOILT,
        /** A new attempt for an upstream that the balancer knew to be draining or removed. */
        AFTER_DRAIN,
        /** An upstream was overloaded during its slow start. */
        COLD_OVERRUN,
        /** An attempt arrived at an upstream whose machine is under maintenance. */
        OUT,
        /** An attempt arrived at an upstream for a request that no client sent. */
        FOREIGN
    }
}
