package myrtleladder.dataplane;

import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Counts requests to upstreams that are not warm, and logs how many upstreams are in which state
 * whenever that changed. Confined to the event loop.
 */
final class WarmupCounters {
    private static final Logger LOG = LogManager.getLogger(WarmupCounters.class);

    private long sent;
    private long withheld;
    private Map<UpstreamWarmup.State, Integer> loggedStates =
            new EnumMap<>(UpstreamWarmup.State.class);

    /** A request was sent to an upstream that is not warm. */
    void countSent() {
        sent++;
    }

    /** An upstream was left out for its budget, at a pick or at the moment of sending. */
    void countWithheld() {
        withheld++;
    }

    /** Logs the states of the upstreams that are not warm if they changed since the last time. */
    void logStates(Collection<Upstream> upstreams, long nowMs) {
        Map<UpstreamWarmup.State, Integer> states = new EnumMap<>(UpstreamWarmup.State.class);
        for (Upstream upstream : upstreams) {
            if (upstream.warmup().isLimited(nowMs)) {
                states.merge(upstream.warmup().state(nowMs), 1, Integer::sum);
            }
        }
        if (!states.equals(loggedStates)) {
            loggedStates = states;
            LOG.info("upstreams that are not warm: {}; {}", states, this);
        }
    }

    /** Both counts as label=count. */
    @Override
    public String toString() {
        return "cold_sent=" + sent + " cold_withheld=" + withheld;
    }
}
