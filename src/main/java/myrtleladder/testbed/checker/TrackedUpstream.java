package myrtleladder.testbed.checker;

import java.util.HashMap;
import java.util.Map;

/** What the checker knows of one upstream. Confined to the thread of {@link Checker}. */
final class TrackedUpstream {
    final long startedAtUs;
    final SlowStartWindow slowStartWindow;

    /** When discovery first reported to a balancer, by its name, that this upstream drains. */
    final Map<String, Long> drainReportedAtUs = new HashMap<>();

    /** Whether an overload was reported; it is reported once for each start. */
    boolean isOverloadReported;

    TrackedUpstream(long startedAtUs, SlowStartWindow slowStartWindow) {
        this.startedAtUs = startedAtUs;
        this.slowStartWindow = slowStartWindow;
    }
}
