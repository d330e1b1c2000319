package myrtleladder.consensus;

/**
 * A term of at most one leader (Raft, section 5.1). All terms of one founding share its epoch, so
 * whatever a later founding decides goes before all that an earlier one did.
 *
 * @param epoch of the founding: grows, also over the end of all processes, as long as the wall
 *     clock does
 */
public record Term(long epoch, long round) implements Comparable<Term> {
    /** Before the first founding. */
    public static final Term NONE = new Term(0, 0);

    @Override
    public int compareTo(Term other) {
        return epoch != other.epoch
                ? Long.compare(epoch, other.epoch)
                : Long.compare(round, other.round);
    }
}
