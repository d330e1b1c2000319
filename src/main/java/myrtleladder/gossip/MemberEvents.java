package myrtleladder.gossip;

/** Reports changes of the member table as events. */
final class MemberEvents {
    private final Membership.Output output;

    MemberEvents(Membership.Output output) {
        this.output = output;
    }

    /** Reports the change from one update on a member, null if it was unknown, to another. */
    void reportChange(MemberUpdate previous, MemberUpdate update) {
        reportNameConflict(previous, update);
        reportState(previous, update);
    }

    private void reportNameConflict(MemberUpdate previous, MemberUpdate update) {
        boolean hadConflict = previous != null && previous.hasNameConflict();
        if (update.hasNameConflict() && !hadConflict) {
            report(MemberEvent.Kind.RIVAL, update, "it says that another process has its name");
        } else if (hadConflict && !update.hasNameConflict()) {
            report(MemberEvent.Kind.RIVAL_GONE, update, "it says so");
        }
    }

    private void reportState(MemberUpdate previous, MemberUpdate update) {
        boolean wasPresent = previous != null && previous.state().isPresent();
        switch (update.state()) {
            case ALIVE -> reportAlive(previous, update);
            case SUSPECT -> report(MemberEvent.Kind.SUSPECTED, update, "by " + update.reportedBy());
            case DEAD -> {
                if (wasPresent) {
                    report(MemberEvent.Kind.DIED, update, "by " + update.reportedBy());
                }
            }
            case LEFT -> {
                if (wasPresent) {
                    report(MemberEvent.Kind.LEFT, update, "it said so");
                }
            }
            default -> throw new IllegalStateException(update.state().name());
        }
    }

    private void reportAlive(MemberUpdate previous, MemberUpdate update) {
        if (previous == null) {
            report(MemberEvent.Kind.JOINED, update, "it said so");
        } else if (previous.startId() != update.startId()) {
            report(MemberEvent.Kind.RESTARTED, update, "another life under its name");
        } else if (previous.state() != MemberState.ALIVE) {
            report(MemberEvent.Kind.REFUTED, update, "it contradicted " + previous.reportedBy());
        }
    }

    void report(MemberEvent.Kind kind, MemberUpdate update, String reason) {
        output.onEvent(new MemberEvent(kind, update, reason));
    }
}
