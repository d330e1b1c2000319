package myrtleladder.dataplane;

/**
 * 64-bit hash functions with the same results in every process, for rendezvous hashing and for
 * identifiers that balancers exchange. Not cryptographic. Stateless.
 */
final class StableHash {
    /** Prime of 64-bit FNV-1a. */
    private static final long FNV_PRIME = 0x100000001b3L;

    /** Offset basis of 64-bit FNV-1a. */
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;

    /** First multiplier of the SplitMix64 finalizer. */
    private static final long MIX_MULTIPLIER_1 = 0xBF58476D1CE4E5B9L;

    /** Second multiplier of the SplitMix64 finalizer. */
    private static final long MIX_MULTIPLIER_2 = 0x94D049BB133111EBL;

    private StableHash() {}

    /** FNV-1a over the UTF-16 code units of a text, finalized by {@link #mix}. */
    static long of(String text) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /** The finalizer of SplitMix64, in which each input bit affects all output bits. */
    static long mix(long value) {
        long mixed = value;
        mixed = (mixed ^ (mixed >>> 30)) * MIX_MULTIPLIER_1;
        mixed = (mixed ^ (mixed >>> 27)) * MIX_MULTIPLIER_2;
        return mixed ^ (mixed >>> 31);
    }
}
