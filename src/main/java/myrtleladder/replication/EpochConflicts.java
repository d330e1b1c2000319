package myrtleladder.replication;

import java.util.HashSet;
import java.util.Set;
import myrtleladder.protocol.Member;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Counts and logs rejected requests which show that two members act under the same epoch: the
 * protocol rules this out, so each one is an error. Confined to the event loop.
 */
final class EpochConflicts {
    private static final Logger LOG = LogManager.getLogger(Replica.class);

    /** Bounds the memory for {@link #logged}; further conflicts are only counted. */
    private static final int MAX_LOGGED_CONFLICTS = 1_000;

    private final Set<Conflict> logged = new HashSet<>();
    private long count;

    /** What makes two conflicts the same one to a reader of the log. */
    private record Conflict(long epoch, Member sender) {}

    /**
     * Records a rejected request and logs it, if it is the first one of its epoch and sender.
     *
     * @param sender null if the request does not name it
     * @param description what was received
     */
    void record(long epoch, Member sender, String description) {
        count++;
        if (logged.size() < MAX_LOGGED_CONFLICTS && logged.add(new Conflict(epoch, sender))) {
            String name = sender == null ? "an unnamed member" : sender.toString();
            LOG.error(
                    "epoch conflict: rejected {} from {} in epoch {}, which belongs to another"
                            + " member",
                    description,
                    name,
                    epoch);
        }
    }

    /** Returns how many requests were rejected. */
    long count() {
        return count;
    }
}
