package myrtleladder.testbed.fault;

/**
 * What one direction of a link does to what is sent on it. Times are microseconds, chances lie in 0
 * to 1.
 *
 * @param cut nothing arrives, and nobody is told: the other direction may go on
 * @param delay added to every message
 * @param jitter up to so much more, drawn evenly for each message, so that messages may overtake
 *     each other
 * @param loss chance that a message never arrives
 * @param duplicate chance that it arrives a second time, with a delay of its own
 * @param rate bytes a second that fit through, one message after the other; 0 for as many as come
 */
public record LinkFault(
        boolean cut, long delay, long jitter, double loss, double duplicate, long rate) {
    /** A link without a fault. */
    public static final LinkFault NONE = new LinkFault(false, 0, 0, 0, 0, 0);

    /** A link over which nothing comes. */
    public static final LinkFault CUT = new LinkFault(true, 0, 0, 0, 0, 0);

    /** Refuses values that mean nothing, by name. */
    public LinkFault {
        require(delay >= 0, "delay");
        require(jitter >= 0, "jitter");
        require(loss >= 0 && loss <= 1, "loss");
        require(duplicate >= 0 && duplicate <= 1, "duplicate");
        require(rate >= 0, "rate");
    }

    /** One without a bound on its bytes. */
    public LinkFault(boolean cut, long delay, long jitter, double loss, double duplicate) {
        this(cut, delay, jitter, loss, duplicate, 0);
    }

    private static void require(boolean good, String name) {
        if (!good) {
            throw new IllegalArgumentException(name + " of a link fault is out of its range");
        }
    }
}
