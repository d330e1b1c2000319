package myrtleladder.controlplane;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import myrtleladder.protocol.FleetLoads;
import myrtleladder.protocol.LoadReport;
import myrtleladder.protocol.UpstreamLoad;

/**
 * The total requests and prompt tokens that all balancers have in flight at each upstream,
 * calculated from the latest report of each balancer.
 *
 * <p>Invariant: the totals are the sums over the reports in the table. A report replaces the
 * previous one of its balancer and expires, so that no request counts twice and a crashed balancer
 * leaves no load behind. Confined to the event loop.
 */
final class LoadTable {
    /** How long a report counts: the timeout of a poll plus two poll waits. */
    static final long REPORT_LIFETIME_MS = 1_500;

    /**
     * How long a new primary collects reports before it sends totals. Each live balancer has polled
     * by then.
     */
    static final long COLLECTION_PERIOD_MS = 900;

    /** Maximum number of upstreams in a response. Bounds its size in large fleets. */
    private static final int MAX_LOADS_IN_RESPONSE = 200;

    /** Latest report of each balancer, in the order of arrival. */
    private final LinkedHashMap<String, ReceivedReport> reportByBalancer = new LinkedHashMap<>();

    private final Map<Integer, UpstreamTotal> totalByUpstream = new HashMap<>();
    private long resetAtMs;

    /** A load report and its arrival time. */
    private record ReceivedReport(LoadReport report, long receivedAtMs) {}

    /** The load of all balancers at an upstream. */
    private static final class UpstreamTotal {
        private int requests;
        private int tokens;

        private boolean isIdle() {
            return requests <= 0 && tokens <= 0;
        }
    }

    /** Clears the table, when this node becomes primary. */
    void reset(long nowMs) {
        reportByBalancer.clear();
        totalByUpstream.clear();
        resetAtMs = nowMs;
    }

    /** Records a report unless a newer one from the same process is known. */
    void record(LoadReport report, long nowMs) {
        ReceivedReport previous = reportByBalancer.get(report.balancer);
        if (previous != null && !replaces(report, previous.report())) {
            return;
        }
        remove(report.balancer);
        reportByBalancer.put(report.balancer, new ReceivedReport(report, nowMs));
        report.loads.forEach(load -> addToTotal(load, 1));
    }

    private static boolean replaces(LoadReport report, LoadReport previous) {
        return report.processId != previous.processId || report.sequence > previous.sequence;
    }

    /** Removes a balancer's report, if there is one, from the table and the totals. */
    void remove(String balancer) {
        ReceivedReport removed = reportByBalancer.remove(balancer);
        if (removed != null) {
            removed.report().loads.forEach(load -> addToTotal(load, -1));
        }
    }

    private void addToTotal(UpstreamLoad load, int sign) {
        UpstreamTotal total =
                totalByUpstream.computeIfAbsent(load.upstreamKey, upstream -> new UpstreamTotal());
        total.requests += sign * load.inFlightRequests;
        total.tokens += sign * load.pendingPromptTokens;
        if (total.isIdle()) {
            totalByUpstream.remove(load.upstreamKey);
        }
    }

    /**
     * Adds to a response the load of the other balancers, unless this node became primary so
     * recently that some of them may not have reported yet.
     */
    void addLoadsOfOthers(FleetLoads response, String balancer, long nowMs) {
        if (nowMs - resetAtMs < COLLECTION_PERIOD_MS) {
            return;
        }
        removeExpired(nowMs);
        response.loadsKnown = true;
        Map<Integer, UpstreamLoad> own = loadsOf(balancer);
        totalByUpstream.forEach(
                (upstream, total) ->
                        addTotalWithoutOwn(response, upstream, total, own.get(upstream)));
        if (response.loads.size() > MAX_LOADS_IN_RESPONSE) {
            response.loads.sort(
                    (a, b) -> Integer.compare(b.pendingPromptTokens, a.pendingPromptTokens));
            response.loads.subList(MAX_LOADS_IN_RESPONSE, response.loads.size()).clear();
        }
    }

    private Map<Integer, UpstreamLoad> loadsOf(String balancer) {
        Map<Integer, UpstreamLoad> loads = new HashMap<>();
        ReceivedReport received = reportByBalancer.get(balancer);
        if (received != null) {
            received.report().loads.forEach(load -> loads.put(load.upstreamKey, load));
        }
        return loads;
    }

    /**
     * Adds the total at an upstream minus the requesting balancer's own load; {@code own} may be
     * null.
     */
    private static void addTotalWithoutOwn(
            FleetLoads response, int upstream, UpstreamTotal total, UpstreamLoad own) {
        int requests = total.requests - (own == null ? 0 : own.inFlightRequests);
        int tokens = total.tokens - (own == null ? 0 : own.pendingPromptTokens);
        if (requests > 0 || tokens > 0) {
            response.loads.add(UpstreamLoad.of(upstream, requests, tokens));
        }
    }

    private void removeExpired(long nowMs) {
        while (!reportByBalancer.isEmpty()) {
            Map.Entry<String, ReceivedReport> oldest =
                    reportByBalancer.entrySet().iterator().next();
            if (nowMs - oldest.getValue().receivedAtMs() <= REPORT_LIFETIME_MS) {
                return;
            }
            remove(oldest.getKey());
        }
    }
}
