package myrtleladder.loadbalancer.policy;

/** One attempt of a request at one upstream. */
final class Attempt {
    final UpstreamState upstream;
    final long sentAtUs;

    /**
     * Whether the upstream was at its in-flight limit at the send. Only then does an answer raise
     * the limit.
     */
    boolean isAtLimit;

    boolean isOutstanding = true;

    /** False once its outcome proves that it never ran. */
    boolean mayHaveRun = true;

    /** Whether another attempt was started because this one got no answer. */
    boolean isHedged;

    /** Load of the upstream right after the send, in mean requests, including this attempt. */
    double loadAtSend;

    Attempt(UpstreamState upstream, long sentAtUs) {
        this.upstream = upstream;
        this.sentAtUs = sentAtUs;
    }
}
