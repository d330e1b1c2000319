package myrtleladder.controlplane;

import myrtleladder.protocol.FleetLoads;
import myrtleladder.protocol.LoadReport;

/**
 * Collects the load reports of all balancers on the primary and distributes them: the requests in
 * flight at upstreams and the prompt prefixes that upstreams have cached. These are hints that are
 * not replicated to a quorum.
 *
 * <p>Confined to the event loop.
 */
final class FleetLoadExchange {
    private final LoadTable loads = new LoadTable();
    private final PromptDirectory prompts = new PromptDirectory();

    /** Clears all reports, when this node becomes primary. */
    void reset(long nowMs) {
        loads.reset(nowMs);
        prompts.clear();
    }

    /** Records a balancer's report; {@code report} is null if it sent none. */
    void record(LoadReport report, long nowMs) {
        if (report != null) {
            loads.record(report, nowMs);
            prompts.record(report.cachedPrompts);
        }
    }

    /** Removes the load of a balancer that has left. */
    void remove(String balancer) {
        loads.remove(balancer);
    }

    /** Returns the response to a balancer's report, or null if {@code report} is null. */
    FleetLoads responseTo(LoadReport report, long epoch, long nowMs) {
        if (report == null) {
            return null;
        }
        FleetLoads response = new FleetLoads();
        response.epoch = epoch;
        loads.addLoadsOfOthers(response, report.balancer, nowMs);
        boolean isSameEpoch = report.epoch == epoch;
        prompts.addChangesSince(response, isSameEpoch ? report.promptRevision : 0);
        return response;
    }
}
