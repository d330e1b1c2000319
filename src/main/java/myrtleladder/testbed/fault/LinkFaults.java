package myrtleladder.testbed.fault;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The faults in force by direction, and the draws that follow from them. Each direction draws from
 * a stream of its own: what one link does hangs on its own messages alone, and two runs of a seed
 * agree on it.
 */
public final class LinkFaults {
    private final long seed;
    private final LinkFault usual;
    private final Map<Direction, LinkFault> faults = new HashMap<>();
    private final Map<Direction, SplittableRandom> draws = new HashMap<>();

    /** Until when a direction with a bound on its bytes is taken up by what was sent before. */
    private final Map<Direction, Long> takenUp = new HashMap<>();

    private record Direction(String from, String to) {}

    /** Links that all behave as {@code usual} until a fault is set. */
    public LinkFaults(long seed, LinkFault usual) {
        this.seed = seed;
        this.usual = usual;
    }

    /** Puts a fault on one direction in place of what was there. */
    public void set(String from, String to, LinkFault fault) {
        faults.put(new Direction(from, to), fault);
        takenUp.remove(new Direction(from, to));
    }

    /** Makes one direction as usual again. */
    public void heal(String from, String to) {
        faults.remove(new Direction(from, to));
    }

    /** Makes all as usual again. */
    public void healAll() {
        faults.clear();
    }

    /** Whether nothing comes over this direction now. */
    public boolean cut(String from, String to) {
        return faults.getOrDefault(new Direction(from, to), usual).cut();
    }

    /**
     * The delays after which copies of a message sent now arrive: none if it is lost, mostly one. A
     * message that finds the link cut draws nothing, or the length of a cut would change what comes
     * after it. All calls have to give {@code now}, microseconds, by one clock.
     */
    public long[] arrivals(long now, String from, String to, int bytes) {
        Direction direction = new Direction(from, to);
        LinkFault fault = faults.getOrDefault(direction, usual);
        if (fault.cut()) {
            return new long[0];
        }
        SplittableRandom random =
                draws.computeIfAbsent(
                        direction,
                        d ->
                                new SplittableRandom(
                                        (seed * 31 + from.hashCode()) * 31 + to.hashCode()));
        // Drawn in any case, so that a change of one chance leaves the other draws as they were.
        boolean lost = random.nextDouble() < fault.loss();
        boolean twice = random.nextDouble() < fault.duplicate();
        long behind = fault.rate() == 0 ? 0 : behind(now, direction, bytes, fault.rate());
        long first = behind + delay(fault, random);
        long second = behind + delay(fault, random);
        return lost ? new long[0] : twice ? new long[] {first, second} : new long[] {first};
    }

    /** How long a message waits for those before it and for its own last byte. */
    private long behind(long now, Direction direction, int bytes, long rate) {
        long done = Math.max(now, takenUp.getOrDefault(direction, now)) + bytes * 1_000_000L / rate;
        takenUp.put(direction, done);
        return done - now;
    }

    private static long delay(LinkFault fault, SplittableRandom random) {
        return fault.delay() + random.nextLong(fault.jitter() + 1);
    }
}
