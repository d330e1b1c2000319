package myrtleladder.loadbalancer.policy;

/**
 * The mixing function behind rendezvous (highest random weight) hashing. Every balancer computes
 * the same values, so that all agree on subsets and affinities without communication.
 */
final class RendezvousHash {
    /** 2^64 divided by the golden ratio: spreads small inputs over all bits, as in SplitMix64. */
    private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

    /** Bits dropped from a hash so that the rest fits the 53-bit mantissa of a double. */
    private static final int MANTISSA_SHIFT = 11;

    /** 2^-53: scales a 53-bit integer to the unit interval. */
    private static final double UNIT = 0x1.0p-53;

    private RendezvousHash() {}

    /** The finalizer of SplitMix64: each input bit changes about half of the output bits. */
    static long mix(long z) {
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }

    /** The hash of an item's own hash and the salt of the balancer that ranks it. */
    static long combine(int itemHash, long salt) {
        return mix(itemHash * GOLDEN_GAMMA ^ salt);
    }

    /** Maps a hash to a number strictly between 0 and 1. */
    static double toUnitInterval(long hash) {
        return ((hash >>> MANTISSA_SHIFT) + 0.5) * UNIT;
    }
}
