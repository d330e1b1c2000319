package myrtleladder.controlplane;

import myrtleladder.protocol.FleetLoads;
import myrtleladder.protocol.LoadReport;

/** What balancers tell each other by way of the primary: what is under way, and what is kept. */
final class FleetView {
    private final LoadBoard loads = new LoadBoard();
    private final PromptDirectory prompts = new PromptDirectory();

    /** This node has become primary. */
    void lead(long now) {
        loads.lead(now);
        prompts.clear();
    }

    /** Takes a balancer's report, null if it sent none. */
    void take(LoadReport report, long now) {
        if (report != null) {
            loads.take(report, now);
            prompts.take(report.cachedPrompts);
        }
    }

    /** A balancer has left. */
    void forget(String balancer) {
        loads.forget(balancer);
    }

    /** The answer to a balancer's report, null if it sent none. */
    FleetLoads tell(LoadReport report, long epoch, long now) {
        if (report == null) {
            return null;
        }
        FleetLoads answer = new FleetLoads();
        answer.epoch = epoch;
        loads.tell(answer, report.balancer, now);
        prompts.tell(answer, report.epoch == epoch ? report.promptRevision : 0);
        return answer;
    }
}
