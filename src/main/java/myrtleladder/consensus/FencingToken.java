package myrtleladder.consensus;

/**
 * The place of a decree among all decrees, for use as a fencing token: a later one is greater, also
 * after most processes have ended at once, when the log may begin anew.
 */
public record FencingToken(long epoch, long index) implements Comparable<FencingToken> {
    @Override
    public int compareTo(FencingToken other) {
        return epoch != other.epoch
                ? Long.compare(epoch, other.epoch)
                : Long.compare(index, other.index);
    }
}
