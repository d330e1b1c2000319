package myrtleladder.dataplane;

/** Hash functions that give the same at every balancer. */
final class StableHash {
    private static final long PRIME = 0x100000001b3L;
    private static final long BASIS = 0xcbf29ce484222325L;

    private StableHash() {}

    static long of(String text) {
        long hash = BASIS;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * PRIME;
        }
        return mix(hash);
    }

    static long mix(long value) {
        long z = value;
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }
}
