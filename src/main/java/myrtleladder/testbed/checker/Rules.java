package myrtleladder.testbed.checker;

/**
 * The limits that the rules set (PROTOCOL, "The rules on sockets"). Immutable.
 *
 * @param answerSlackUs how long after its deadline, in microseconds, a request may still get its
 *     final response without being lost
 * @param drainGraceUs how long after discovery reported to a balancer that an upstream is draining,
 *     in microseconds, a new attempt of this balancer may still arrive there
 * @param startCapacity fraction of its capacity, 0 to 1, that an upstream has when it starts
 * @param slowStartUs how long after its start, in microseconds, an upstream has its full capacity
 * @param overloadMultiple an upstream in slow start is overloaded if it receives more than this
 *     multiple of what it can process within {@code overloadWindowUs}
 * @param overloadWindowUs length of the window of {@code overloadMultiple}, in microseconds
 */
public record Rules(
        long answerSlackUs,
        long drainGraceUs,
        double startCapacity,
        long slowStartUs,
        double overloadMultiple,
        long overloadWindowUs) {

    /**
     * The fraction of its full capacity that an upstream has at this age. It rises linearly from
     * {@code startCapacity} to 1.
     */
    public double slowStartFactor(long ageUs) {
        return ageUs >= slowStartUs
                ? 1
                : startCapacity + (1 - startCapacity) * Math.max(0, ageUs) / slowStartUs;
    }
}
