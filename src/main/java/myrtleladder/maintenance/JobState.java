package myrtleladder.maintenance;

/** Where a machine's work stands. */
public enum JobState {
    /** It waits for its turn. */
    ASKED(false, false),
    /** It is its turn: all stop sending there, and say so when nothing is in flight any more. */
    DRAINING(true, false),
    /** Nobody sends there: the work may go on. */
    OUT(true, false),
    /** As OUT, and the time that the work was to take is over. */
    OVERDUE(true, false),
    /** The work is done; it is taken in cold and looked at. */
    WARMING(false, false),
    /**
     * It came back bad, so nobody sends there; the agenda is halted until operators have looked at
     * it.
     */
    FAILED(true, false),
    /** It is back. */
    IN(false, true),
    /** Operators have taken it off the agenda before its work began. */
    WITHDRAWN(false, true),
    /** It was never on the agenda, for the reason that is told. */
    REFUSED(false, true);

    private final boolean aside;
    private final boolean over;

    JobState(boolean aside, boolean over) {
        this.aside = aside;
        this.over = over;
    }

    /** Whether nothing new may be sent there. */
    public boolean aside() {
        return aside;
    }

    /** Whether the agenda is done with it. */
    public boolean over() {
        return over;
    }

    /** Whether it counts as one that does not serve, in what a plan allows at once. */
    public boolean missing() {
        return aside || this == WARMING;
    }
}
