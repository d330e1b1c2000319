package myrtleladder.gossip;

/**
 * The update of this process on itself. Only this class changes its incarnation, which never
 * decreases.
 */
final class LocalMember {
    private final MemberTable table;
    private final DisseminationQueue queue;
    private MemberUpdate current;
    private boolean isLeaving;

    LocalMember(MemberUpdate first, MemberTable table, DisseminationQueue queue) {
        this.current = first;
        this.table = table;
        this.queue = queue;
    }

    MemberUpdate current() {
        return current;
    }

    String name() {
        return current.name();
    }

    boolean isLeaving() {
        return isLeaving;
    }

    /** Enters itself into the member table; others learn of it from its datagrams. */
    void start(long nowUs) {
        table.put(current, nowUs);
    }

    /** Announces that it leaves; from now on it refutes nothing. */
    void leave(long nowUs) {
        isLeaving = true;
        announce(nowUs, current.withState(MemberState.LEFT, name()));
    }

    /** Announces that it is alive, by an incarnation above the one that it has to supersede. */
    void raiseIncarnationAbove(long nowUs, long incarnation, boolean hasNameConflict) {
        announce(
                nowUs,
                new MemberUpdate(
                        current.name(),
                        current.startId(),
                        incarnation + 1,
                        MemberState.ALIVE,
                        hasNameConflict,
                        current.address(),
                        current.name(),
                        current.metadata()));
    }

    private void announce(long nowUs, MemberUpdate update) {
        current = update;
        table.put(update, nowUs);
        queue.add(update);
    }
}
