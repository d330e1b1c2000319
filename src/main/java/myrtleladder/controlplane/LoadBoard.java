package myrtleladder.controlplane;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import myrtleladder.protocol.FleetLoads;
import myrtleladder.protocol.LoadReport;
import myrtleladder.protocol.UpstreamLoad;

/**
 * What all balancers have under way at each upstream, summed up from their newest reports. A report
 * replaces the one before and counts for a short time, so nothing is counted twice and nothing
 * stays of a balancer that died.
 */
final class LoadBoard {
    /** How long a report counts: a few polls. */
    static final long FRESH = 1_500;

    /** How long a new primary tells nothing: each balancer that lives has polled by then. */
    static final long FIRST_SUMS = 900;

    private static final int MOST_TOLD = 200; // bounds the bytes of an answer in large fleets

    private final LinkedHashMap<String, Entry> entries = new LinkedHashMap<>();
    private final Map<Integer, Sum> sums = new HashMap<>();
    private long since;

    private record Entry(LoadReport report, long heardAt) {}

    private static final class Sum {
        private int requests;
        private int tokens;

        private boolean idle() {
            return requests <= 0 && tokens <= 0;
        }
    }

    /** Begins anew: other nodes summed up until now. */
    void lead(long now) {
        entries.clear();
        sums.clear();
        since = now;
    }

    /** Takes a report unless a newer one of the same process is known. */
    void take(LoadReport report, long now) {
        Entry before = entries.get(report.balancer);
        if (before != null && !replaces(report, before.report())) {
            return;
        }
        forget(report.balancer);
        entries.put(report.balancer, new Entry(report, now));
        report.loads.forEach(load -> add(load, 1));
    }

    private static boolean replaces(LoadReport report, LoadReport before) {
        return report.processId != before.processId || report.sequence > before.sequence;
    }

    /** Takes a balancer's report out of the sums. */
    void forget(String balancer) {
        Entry before = entries.remove(balancer);
        if (before != null) {
            before.report().loads.forEach(load -> add(load, -1));
        }
    }

    private void add(UpstreamLoad load, int sign) {
        Sum sum = sums.computeIfAbsent(load.upstreamKey, u -> new Sum());
        sum.requests += sign * load.inFlightRequests;
        sum.tokens += sign * load.pendingPromptTokens;
        if (sum.idle()) {
            sums.remove(load.upstreamKey);
        }
    }

    /** Adds to an answer the sums without what the asking balancer itself told, if known. */
    void tell(FleetLoads told, String balancer, long now) {
        if (now - since < FIRST_SUMS) {
            return;
        }
        expire(now);
        told.loadsKnown = true;
        Map<Integer, UpstreamLoad> own = new HashMap<>();
        Entry asking = entries.get(balancer);
        if (asking != null) {
            asking.report().loads.forEach(load -> own.put(load.upstreamKey, load));
        }
        sums.forEach((upstream, sum) -> addOthers(told, upstream, sum, own.get(upstream)));
        if (told.loads.size() > MOST_TOLD) {
            told.loads.sort(
                    (a, b) -> Integer.compare(b.pendingPromptTokens, a.pendingPromptTokens));
            told.loads.subList(MOST_TOLD, told.loads.size()).clear();
        }
    }

    private static void addOthers(FleetLoads told, int upstream, Sum sum, UpstreamLoad own) {
        int requests = sum.requests - (own == null ? 0 : own.inFlightRequests);
        int tokens = sum.tokens - (own == null ? 0 : own.pendingPromptTokens);
        if (requests > 0 || tokens > 0) {
            told.loads.add(UpstreamLoad.of(upstream, requests, tokens));
        }
    }

    /** Reports stand in the order in which they came. */
    private void expire(long now) {
        while (!entries.isEmpty()) {
            Map.Entry<String, Entry> oldest = entries.entrySet().iterator().next();
            if (now - oldest.getValue().heardAt() <= FRESH) {
                return;
            }
            forget(oldest.getKey());
        }
    }
}
