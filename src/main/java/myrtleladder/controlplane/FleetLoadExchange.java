package myrtleladder.controlplane;

import myrtleladder.protocol.FleetLoads;
import myrtleladder.protocol.LoadReport;

/**
 * What balancers learn of each other by way of the primary: the requests in flight at upstreams and
 * the prompt prefixes that upstreams have cached. All of it is a hint that rests on no quorum.
 *
 * <p>Confined to the event loop.
 */
final class FleetLoadExchange {
    private final LoadTable loads = new LoadTable();
    private final PromptDirectory prompts = new PromptDirectory();

    /** Starts anew: this node became primary. */
    void reset(long nowMs) {
        loads.reset(nowMs);
        prompts.clear();
    }

    /** Records a balancer's report; null if it sent none. */
    void record(LoadReport report, long nowMs) {
        if (report != null) {
            loads.record(report, nowMs);
            prompts.record(report.cachedPrompts);
        }
    }

    /** Forgets the load of a balancer that has left. */
    void remove(String balancer) {
        loads.remove(balancer);
    }

    /** The response to a balancer's report; null if it sent none. */
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
