package myrtleladder.consensus;

/**
 * What is fed by the log: all processes hand theirs the same calls in the same order, so it may
 * look at nothing else, neither a clock nor chance.
 */
public interface StateMachine {
    /** A command has been decided; {@code token} is greater than that of any decided before. */
    void apply(FencingToken token, Life by, byte[] command);

    /** The members have been decided. */
    void view(View view);

    /** All that it holds, in a form of its own. */
    byte[] snapshot();

    /** Takes over what {@link #snapshot} gave elsewhere, in place of all that it held. */
    void restore(byte[] snapshot);
}
