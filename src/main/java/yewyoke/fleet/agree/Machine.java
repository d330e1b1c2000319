package yewyoke.fleet.agree;

/**
 * What is fed by the log: all processes hand theirs the same calls in the same order, so it may look at
 * nothing else, neither a clock nor chance.
 */
public interface Machine {
    /** Where the members are all that is agreed on. */
    Machine OF_VIEWS = new Machine() {
        @Override public void apply(Token token, Life by, byte[] command) { }

        @Override public void view(View view) { }

        @Override public byte[] snapshot() {
            return new byte[0];
        }

        @Override public void restore(byte[] snapshot) { }
    };

    /** A command has been decided; {@code token} is greater than that of any decided before. */
    void apply(Token token, Life by, byte[] command);

    /** The members have been decided. */
    void view(View view);

    /** All that it holds, in a form of its own. */
    byte[] snapshot();

    /** Takes over what {@link #snapshot} gave elsewhere, in place of all that it held. */
    void restore(byte[] snapshot);
}
