package myrtleladder.testbed.checker;

/**
 * The figures of the rules (PROTOCOL, "The rules on sockets"). Times are microseconds.
 *
 * @param answerSlack so long after its time a request may still get its final answer without being
 *     lost
 * @param drainGrace so long after the balancer was told may something new still reach a draining
 *     upstream
 * @param startCapacity part of its capacity that an upstream has when it starts
 * @param coldTime after so long it has all of it
 * @param fallMultiple a cold one falls over if sent so many times what it can do, for {@code
 *     fallTime}
 * @param fallTime see {@code fallMultiple}
 */
public record Rules(
        long answerSlack,
        long drainGrace,
        double startCapacity,
        long coldTime,
        double fallMultiple,
        long fallTime) {

    /** What part of its capacity an upstream has at an age; it rises evenly. */
    public double slowStartFactor(long age) {
        return age >= coldTime
                ? 1
                : startCapacity + (1 - startCapacity) * Math.max(0, age) / coldTime;
    }
}
