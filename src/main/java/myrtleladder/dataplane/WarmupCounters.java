package myrtleladder.dataplane;

import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Counts requests to upstreams that are not warm and logs changes of the number of upstreams in
 * each warm-up state. Confined to the event loop.
 */
final class WarmupCounters {
    private static final Logger LOG = LogManager.getLogger(WarmupCounters.class);

    private long sent;
    private long withheld;
    private Map<UpstreamWarmup.State, Integer> loggedStates =
            new EnumMap<>(UpstreamWarmup.State.class);

    /** Counts a request sent to an upstream that is not warm. */
    void countSent() {
        sent++;
    }

    /** Counts a request that the warm-up limit kept from an upstream, when picking or sending. */
    void countWithheld() {
        withheld++;
    }

    /** Logs the number of upstreams in each state but WARM if it changed since the last call. */
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

    /** Both counters as name=value pairs. */
    @Override
    public String toString() {
        return "cold_sent=" + sent + " cold_withheld=" + withheld;
    }
}
