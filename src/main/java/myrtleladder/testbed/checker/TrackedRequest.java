package myrtleladder.testbed.checker;

import java.util.ArrayList;
import java.util.List;
import myrtleladder.testbed.checker.Checker.Repeat;

/** What the checker knows of one request of a client. Confined to the thread of {@link Checker}. */
final class TrackedRequest {
    final Repeat repeat;
    final long keyMemoryUs;
    final long deadlineUs;

    /** Arrival times of the attempts that may have been processed, in order, in microseconds. */
    final List<Long> possiblyProcessedAtUs = new ArrayList<>();

    /** The bodies that upstreams produced for it. */
    final List<String> producedBodies = new ArrayList<>();

    /** Whether the balancer's machine accepted all of it, so that a response is owed. */
    boolean isAccepted;

    /** Whether no response is owed any more. */
    boolean isDone;

    TrackedRequest(Repeat repeat, long keyMemoryUs, long deadlineUs) {
        this.repeat = repeat;
        this.keyMemoryUs = keyMemoryUs;
        this.deadlineUs = deadlineUs;
    }
}
