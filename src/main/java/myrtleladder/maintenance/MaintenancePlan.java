package myrtleladder.maintenance;

import myrtleladder.consensus.FencingToken;
import myrtleladder.consensus.ProcessId;

/**
 * A plan of an operator while it has jobs.
 *
 * @param proposer the process that the operator handed it to
 * @param startToken of the command that began it
 * @param completeToken of the command with its last machine, null until that is applied
 */
record MaintenancePlan(
        PlanTerms terms, ProcessId proposer, FencingToken startToken, FencingToken completeToken) {
    boolean isComplete() {
        return completeToken != null;
    }

    MaintenancePlan complete(FencingToken token) {
        return new MaintenancePlan(terms, proposer, startToken, token);
    }
}
