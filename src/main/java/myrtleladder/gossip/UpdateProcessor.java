package myrtleladder.gossip;

/**
 * Applies member updates to the table: keeps the greatest on each name, starts and stops
 * suspicions, disseminates what is new, and refutes what is reported about this process. Times are
 * in microseconds.
 */
final class UpdateProcessor {
    /** How much worse a report against this process makes its local health (Lifeguard, IV-A). */
    private static final int REFUTATION_PENALTY = 1;

    private final GossipSettings settings;
    private final LocalMember localMember;
    private final MemberTable table;
    private final DisseminationQueue queue;
    private final SuspicionTracker suspicions;
    private final NameConflictDetector nameConflicts;
    private final LocalHealth health;
    private final MemberEvents events;
    private final DroppedDatagrams dropped;

    UpdateProcessor(
            GossipSettings settings,
            LocalMember localMember,
            MemberTable table,
            DisseminationQueue queue,
            SuspicionTracker suspicions,
            NameConflictDetector nameConflicts,
            LocalHealth health,
            MemberEvents events,
            DroppedDatagrams dropped) {
        this.settings = settings;
        this.localMember = localMember;
        this.table = table;
        this.queue = queue;
        this.suspicions = suspicions;
        this.nameConflicts = nameConflicts;
        this.health = health;
        this.events = events;
        this.dropped = dropped;
    }

    /**
     * Applies an update.
     *
     * @param shouldDisseminate whether others are to be told if it is new
     */
    void apply(long nowUs, MemberUpdate update, boolean shouldDisseminate) {
        if (update.name().equals(localMember.name())) {
            applyToLocalMember(nowUs, update);
            return;
        }
        MemberUpdate known = table.get(update.name());
        if (known == null && table.size() >= settings.maxMembers()) {
            dropped.count(DroppedDatagrams.TABLE_FULL);
        } else if (known == null || update.supersedes(known)) {
            store(nowUs, known, update, shouldDisseminate);
        } else if (isSameSuspicion(known, update)) {
            confirm(nowUs, update);
        }
    }

    private static boolean isSameSuspicion(MemberUpdate known, MemberUpdate update) {
        return known.state() == MemberState.SUSPECT
                && update.state() == MemberState.SUSPECT
                && known.hasSameIncarnation(update);
    }

    private void store(
            long nowUs, MemberUpdate previous, MemberUpdate update, boolean shouldDisseminate) {
        table.put(update, nowUs);
        if (shouldDisseminate) {
            queue.add(update);
        }
        if (update.state() == MemberState.SUSPECT) {
            suspicions.start(nowUs, update);
        } else {
            suspicions.stop(update.name());
        }
        events.reportChange(previous, update);
    }

    private void confirm(long nowUs, MemberUpdate update) {
        if (suspicions.confirm(nowUs, update)) {
            queue.add(update);
        }
    }

    /** This process has found that a member does not answer. */
    void suspect(long nowUs, String member) {
        MemberUpdate known = table.get(member);
        if (known == null || !known.state().isPresent()) {
            return;
        }
        MemberUpdate suspected = known.withState(MemberState.SUSPECT, localMember.name());
        if (known.state() == MemberState.ALIVE) {
            apply(nowUs, suspected, true);
        } else {
            confirm(nowUs, suspected);
        }
    }

    /** This process declares a suspect dead. */
    void declareDead(long nowUs, String member) {
        apply(nowUs, table.get(member).withState(MemberState.DEAD, localMember.name()), true);
    }

    private void applyToLocalMember(long nowUs, MemberUpdate update) {
        if (localMember.isLeaving()) {
            return;
        }
        MemberUpdate local = localMember.current();
        if (update.startId() != local.startId()) {
            nameConflicts.onUpdate(nowUs, update);
        } else if (update.state() != MemberState.ALIVE
                && update.incarnation() >= local.incarnation()) {
            health.degrade(REFUTATION_PENALTY);
            events.report(MemberEvent.Kind.CONTRADICTED, update, update.reportedBy() + " said so");
            localMember.raiseIncarnationAbove(nowUs, update.incarnation(), local.hasNameConflict());
        }
    }
}
