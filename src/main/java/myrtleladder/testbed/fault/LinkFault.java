package myrtleladder.testbed.fault;

/**
 * What one direction of a link does to messages. Immutable; names of components appear in recorded
 * histories. Times are microseconds, probabilities lie in 0 to 1.
 *
 * @param cut no message arrives and the sender gets no error; the other direction is not affected
 * @param delay added to every message
 * @param jitter bound, inclusive, of a further uniform delay of each message, so that messages may
 *     be reordered
 * @param loss probability that a message never arrives
 * @param duplicate probability that it arrives a second time, with a delay of its own
 * @param rate bytes a second, transmitted one message after the other; 0 for no limit
 */
public record LinkFault(
        boolean cut, long delay, long jitter, double loss, double duplicate, long rate) {
    /** A link without a fault. */
    public static final LinkFault NONE = new LinkFault(false, 0, 0, 0, 0, 0);

    /** A partitioned direction: no message arrives. */
    public static final LinkFault CUT = new LinkFault(true, 0, 0, 0, 0, 0);

    /**
     * Checks the ranges.
     *
     * @throws IllegalArgumentException names the component that is out of its range
     */
    public LinkFault {
        require(delay >= 0, "delay");
        require(jitter >= 0, "jitter");
        require(loss >= 0 && loss <= 1, "loss");
        require(duplicate >= 0 && duplicate <= 1, "duplicate");
        require(rate >= 0, "rate");
    }

    /** A link without a limit on its rate. */
    public LinkFault(boolean cut, long delay, long jitter, double loss, double duplicate) {
        this(cut, delay, jitter, loss, duplicate, 0);
    }

    private static void require(boolean isInRange, String name) {
        if (!isInRange) {
            throw new IllegalArgumentException(name + " of a link fault is out of its range");
        }
    }
}
