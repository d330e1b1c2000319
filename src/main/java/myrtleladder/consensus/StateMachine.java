package myrtleladder.consensus;

/**
 * The replicated state machine that the log feeds. All processes pass the same calls in the same
 * order to theirs, so an implementation must be deterministic: it may use neither clock nor chance.
 */
public interface StateMachine {
    /**
     * Applies a committed command.
     *
     * @param token greater than that of any command committed before
     * @param proposer who proposed the command
     */
    void apply(FencingToken token, ProcessId proposer, byte[] command);

    /** Applies a committed view. */
    void view(View view);

    /** The whole state, in a form of the implementation's own. */
    byte[] snapshot();

    /** Replaces the whole state by what {@link #snapshot} returned in another process. */
    void restore(byte[] snapshot);
}
