package myrtleladder.gossip;

import java.util.HashSet;
import java.util.Set;

/**
 * The suspicion of one member and its timeout (Lifeguard, section IV-B). The timeout is long while
 * few members have the suspicion, since a member that has it alone may itself be at fault, and
 * falls to its minimum as others confirm it independently. Times are in microseconds.
 */
final class Suspicion {
    private final MemberUpdate suspect;
    private final long minTimeoutUs;
    private final long maxTimeoutUs;
    private final int confirmationsWanted;
    private final Set<String> confirmedBy = new HashSet<>();
    private long startedUs;
    private boolean isFinalProbeSent;

    Suspicion(
            MemberUpdate suspect,
            long nowUs,
            long minTimeoutUs,
            long maxTimeoutUs,
            int confirmationsWanted) {
        this.suspect = suspect;
        this.startedUs = nowUs;
        this.minTimeoutUs = minTimeoutUs;
        this.maxTimeoutUs = maxTimeoutUs;
        this.confirmationsWanted = confirmationsWanted;
    }

    /** Whether it is about the incarnation that an update is about. */
    boolean isAbout(MemberUpdate update) {
        return suspect.hasSameIncarnation(update);
    }

    /** Adds a confirmation; false if it is not independent or there are enough already. */
    boolean confirm(String member) {
        return confirmedBy.size() < confirmationsWanted && confirmedBy.add(member);
    }

    /** Whether the suspect was probed a last time since the timeout began. */
    boolean isFinalProbeSent() {
        return isFinalProbeSent;
    }

    void finalProbeSent() {
        isFinalProbeSent = true;
    }

    /** Begins the timeout anew: the suspect has answered, and its refutation is still to come. */
    void restart(long nowUs) {
        startedUs = nowUs;
        isFinalProbeSent = false;
    }

    /** Extends the timeout by a time in which this process could not receive a refutation. */
    void extend(long byUs) {
        startedUs += byUs;
    }

    /** When the timeout ends, as confirmed so far. */
    long deadlineUs() {
        double confirmed =
                confirmationsWanted == 0
                        ? 1
                        : Math.log(confirmedBy.size() + 1) / Math.log(confirmationsWanted + 1);
        long timeoutUs = (long) (maxTimeoutUs - (maxTimeoutUs - minTimeoutUs) * confirmed);
        return startedUs + Math.max(minTimeoutUs, timeoutUs);
    }
}
