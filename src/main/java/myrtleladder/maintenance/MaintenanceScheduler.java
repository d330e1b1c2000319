package myrtleladder.maintenance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import myrtleladder.consensus.ConsensusNode;
import myrtleladder.consensus.ProcessId;

/**
 * The leader's part in maintenance: proposes whose turn it is, permits, the end of maintenance, and
 * which senders are unreachable. What it proposes takes effect only if it still fits when it is
 * committed; {@link MaintenanceStateMachine} decides that.
 */
final class MaintenanceScheduler {
    private static final long MILLIS_PER_SECOND = 1_000;

    private final MaintenanceSettings settings;
    private final ProcessId self;
    private final ConsensusNode consensus;
    private final MaintenanceStateMachine state;
    private final SendLeaseManager leases;
    private final CommandProposer proposer;
    private final MaintenanceEnvironment environment;
    private final Map<ProcessId, Long> unseenSinceUs = new HashMap<>();

    MaintenanceScheduler(
            MaintenanceSettings settings,
            ProcessId self,
            ConsensusNode consensus,
            MaintenanceStateMachine state,
            SendLeaseManager leases,
            CommandProposer proposer,
            MaintenanceEnvironment environment) {
        this.settings = settings;
        this.self = self;
        this.consensus = consensus;
        this.state = state;
        this.leases = leases;
        this.proposer = proposer;
        this.environment = environment;
    }

    /**
     * Proposes what is due.
     *
     * @param epoch of the committed view, known here since {@code epochSinceUs}
     * @param present processes that the failure detector reports, as text
     */
    void run(long nowUs, long epoch, long epochSinceUs, Set<String> present) {
        if (!state.isSafe() && nowUs - epochSinceUs >= settings.longestMaintenanceUs()) {
            proposer.propose(nowUs, MaintenanceCommand.safe(self.name(), epoch));
        }
        proposeUnreachableSenders(nowUs, present);
        List<String> failing = environment.failingUpstreams();
        boolean isOneOrdered = false;
        for (MaintenanceJob job : state.jobs()) {
            switch (job.state()) {
                case ASKED -> {
                    // One at a time: the next is judged with this one missing.
                    if (!isOneOrdered && waitReason(job) == null) {
                        proposer.propose(nowUs, order(job, failing));
                        isOneOrdered = true;
                    }
                }
                case DRAINING -> proposePermit(nowUs, job, failing);
                case OUT -> proposeOverdue(nowUs, job);
                case WARMING -> proposeReturn(nowUs, job);
                default -> {}
            }
        }
    }

    private void proposeUnreachableSenders(long nowUs, Set<String> present) {
        for (ProcessId sender : state.present()) {
            boolean isUnreachable =
                    !consensus.view().has(sender)
                            && !present.contains(sender.toString())
                            && !sender.equals(self);
            if (!isUnreachable) {
                unseenSinceUs.remove(sender);
                continue;
            }
            long sinceUs = unseenSinceUs.computeIfAbsent(sender, s -> nowUs);
            if (nowUs - sinceUs >= settings.unreachableAfterUs()) {
                MaintenanceCommand gone =
                        MaintenanceCommand.of(MaintenanceCommand.Kind.GONE, sender.name(), null);
                proposer.propose(nowUs, gone.because(Long.toHexString(sender.startId())));
            }
        }
    }

    private static MaintenanceCommand order(MaintenanceJob job, List<String> failing) {
        return MaintenanceCommand.of(MaintenanceCommand.Kind.ORDER, job.machine(), job.planToken())
                .beside(failing);
    }

    /** A permit needs that no unreachable process can have a lease to send to the machine. */
    private void proposePermit(long nowUs, MaintenanceJob job, List<String> failing) {
        boolean isLeaseExcluded =
                state.gone().stream()
                        .allMatch(
                                sender ->
                                        job.drainedSenders().contains(sender)
                                                || !leases.mayHaveLease(nowUs, sender));
        if (isLeaseExcluded && waitReason(job) == null) {
            long untilMs = environment.wallClockMs() + MILLIS_PER_SECOND * job.spec().seconds();
            proposer.propose(
                    nowUs,
                    MaintenanceCommand.of(
                                    MaintenanceCommand.Kind.GRANT, job.machine(), job.orderToken())
                            .until(untilMs)
                            .beside(failing));
        }
    }

    private void proposeOverdue(long nowUs, MaintenanceJob job) {
        if (environment.wallClockMs() > job.untilMs()) {
            proposer.propose(
                    nowUs,
                    MaintenanceCommand.of(
                            MaintenanceCommand.Kind.OVERDUE, job.machine(), job.permit()));
        }
    }

    private void proposeReturn(long nowUs, MaintenanceJob job) {
        MaintenanceCommand takenIn =
                MaintenanceCommand.of(
                        MaintenanceCommand.Kind.TAKEN_IN, job.machine(), job.permit());
        String upstream = job.spec().upstream();
        if (upstream == null) {
            proposer.propose(nowUs, takenIn);
        } else if (environment.canJudge(upstream)) {
            String degradation = environment.degradation(upstream);
            proposer.propose(
                    nowUs,
                    degradation == null
                            ? takenIn
                            : MaintenanceCommand.of(
                                            MaintenanceCommand.Kind.FAIL,
                                            job.machine(),
                                            job.permit())
                                    .because(degradation));
        }
    }

    /** What a job waits for, as operators see it; null if it waits for nothing. */
    String waitReason(MaintenanceJob job) {
        if (state.haltReason() != null) {
            return "halted: " + state.haltReason();
        }
        if (!state.isSafe()) {
            return "until all that may have been granted before the last founding has run out";
        }
        List<ProcessId> gone = state.sendersWithFallback(job);
        if (!gone.isEmpty()) {
            return "for " + gone + ", of which it is not known that they have ended";
        }
        if (job.state() == JobState.ASKED) {
            return state.capacityViolation(job, environment.failingUpstreams());
        }
        return job.state() == JobState.DRAINING ? drainReason(job) : null;
    }

    private String drainReason(MaintenanceJob job) {
        List<ProcessId> others = new ArrayList<>(state.sendersToDrain());
        others.removeAll(job.drainedSenders());
        return others.isEmpty()
                ? null
                : "for " + others + " to say that nothing is in flight there";
    }
}
