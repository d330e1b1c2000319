package myrtleladder.testbed.fault;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The faults in force for each direction of each link, and their random effects on messages. Each
 * direction has a random generator of its own, seeded by the run's seed and both names: what one
 * link does depends on its own messages alone, and two runs of a seed agree on it.
 *
 * <p>Not thread-safe: used by one thread, in virtual time by that of the simulated network, on
 * sockets by the event loop of the proxies.
 */
public final class LinkFaults {
    private static final long US_PER_SECOND = 1_000_000;

    private final long seed;
    private final LinkFault defaultFault;
    private final Map<Direction, LinkFault> faults = new HashMap<>();
    private final Map<Direction, SplittableRandom> randoms = new HashMap<>();

    /**
     * When a direction with a limited rate has transmitted all earlier messages, in microseconds.
     */
    private final Map<Direction, Long> busyUntilUs = new HashMap<>();

    private record Direction(String from, String to) {}

    /** Links that all behave as {@code defaultFault} until a fault is set. */
    public LinkFaults(long seed, LinkFault defaultFault) {
        this.seed = seed;
        this.defaultFault = defaultFault;
    }

    /** Replaces the fault of one direction. */
    public void set(String from, String to, LinkFault fault) {
        faults.put(new Direction(from, to), fault);
        busyUntilUs.remove(new Direction(from, to));
    }

    /** Restores the default of one direction. */
    public void heal(String from, String to) {
        faults.remove(new Direction(from, to));
        busyUntilUs.remove(new Direction(from, to));
    }

    /** Restores the default of all directions. */
    public void healAll() {
        faults.clear();
        busyUntilUs.clear();
    }

    /** Whether this direction is partitioned now: no message arrives. */
    public boolean isCut(String from, String to) {
        return faults.getOrDefault(new Direction(from, to), defaultFault).cut();
    }

    /**
     * The delays, in microseconds, after which the copies of a message sent now arrive: none if it
     * is lost, two if it is duplicated, else one. A message on a partitioned direction draws no
     * random numbers, or the length of a partition would change what follows it.
     *
     * @param nowUs the time, of the same clock in all calls
     * @param bytes length of the message
     */
    public long[] arrivalDelaysUs(long nowUs, String from, String to, int bytes) {
        Direction direction = new Direction(from, to);
        LinkFault fault = faults.getOrDefault(direction, defaultFault);
        if (fault.cut()) {
            return new long[0];
        }
        SplittableRandom random =
                randoms.computeIfAbsent(
                        direction,
                        d ->
                                new SplittableRandom(
                                        (seed * 31 + from.hashCode()) * 31 + to.hashCode()));
        // Always drawn, so that a change of one probability leaves the other draws as they were.
        boolean isLost = random.nextDouble() < fault.loss();
        boolean isDuplicated = random.nextDouble() < fault.duplicate();
        long transmissionUs =
                fault.rate() == 0 ? 0 : transmissionUs(nowUs, direction, bytes, fault.rate());
        long firstUs = transmissionUs + delayUs(fault, random);
        long secondUs = transmissionUs + delayUs(fault, random);
        return isLost
                ? new long[0]
                : isDuplicated ? new long[] {firstUs, secondUs} : new long[] {firstUs};
    }

    /** How long a message waits for those before it and for the transmission of its own bytes. */
    private long transmissionUs(long nowUs, Direction direction, int bytes, long bytesPerSecond) {
        long startUs = Math.max(nowUs, busyUntilUs.getOrDefault(direction, nowUs));
        long endUs = startUs + bytes * US_PER_SECOND / bytesPerSecond;
        busyUntilUs.put(direction, endUs);
        return endUs - nowUs;
    }

    private static long delayUs(LinkFault fault, SplittableRandom random) {
        return fault.delay() + random.nextLong(fault.jitter() + 1);
    }
}
