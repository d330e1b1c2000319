package myrtleladder.maintenance;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import myrtleladder.consensus.ConsensusNode;
import myrtleladder.consensus.FencingToken;
import myrtleladder.consensus.ProcessId;

/**
 * This process's part in maintenance. It keeps away from machines whose turn it is, reports when
 * nothing of its own is in flight there, and moves the jobs on while it is the leader.
 *
 * <p>A partitioned process does not hear whose turn it is. So a process goes by what it knows only
 * as long as it has a lease; see {@link SendLeaseManager}. Without one it keeps away from all
 * machines of the plans that it knows, except the reserved ones. A leader proposes a permit only
 * when no process that has not reported can have a lease.
 *
 * <p>Not thread-safe: all calls come from the thread that calls the {@link ConsensusNode}. Times
 * are microseconds of the process's steady clock.
 */
public final class MaintenanceCoordinator {
    /** The only timer; scheduled again each time it fires. */
    private static final String TIMER = "work";

    private final MaintenanceSettings settings;
    private final ProcessId self;
    private final ConsensusNode consensus;
    private final MaintenanceStateMachine state;
    private final MaintenanceEnvironment environment;
    private final SendLeaseManager leases;
    private final CommandProposer proposer;
    private final MaintenanceScheduler scheduler;
    private final Map<String, JobState> lastStates = new TreeMap<>();
    private Set<String> present = Set.of();
    private Set<String> excludedUpstreams = Set.of();

    /** The latest complete plan known here, null for none. */
    private FencingToken latestPlan;

    private long latestPlanSinceUs;
    private long epoch;
    private long epochSinceUs;

    /** Whether a view has ever contained this process. */
    private boolean wasMember;

    /**
     * A coordinator that is not started.
     *
     * @param state the state machine of {@code consensus}
     */
    public MaintenanceCoordinator(
            MaintenanceSettings settings,
            ProcessId self,
            ConsensusNode consensus,
            MaintenanceStateMachine state,
            MaintenanceEnvironment environment) {
        this.settings = settings;
        this.self = self;
        this.consensus = consensus;
        this.state = state;
        this.environment = environment;
        this.leases = new SendLeaseManager(settings, self, consensus, state, environment);
        this.proposer = new CommandProposer(consensus, environment);
        this.scheduler =
                new MaintenanceScheduler(
                        settings, self, consensus, state, leases, proposer, environment);
    }

    /** Starts; to be called once, before anything else. */
    public void start(long nowUs) {
        epochSinceUs = nowUs;
        environment.scheduleTimer(TIMER, settings.intervalUs());
    }

    /** Whether a datagram is one of this protocol, and not of another on the same socket. */
    public static boolean isMaintenanceDatagram(byte[] datagram) {
        return SendLeaseManager.isLeaseDatagram(datagram);
    }

    /** Reports which processes the failure detector holds to be present. */
    public void onMembershipObserved(Set<ProcessId> processes) {
        Set<String> names = new HashSet<>();
        processes.forEach(process -> names.add(process.toString()));
        present = names;
    }

    /** Handles a timer of {@link MaintenanceEnvironment#scheduleTimer}. */
    public void onTimer(long nowUs, String timer) {
        if (timer.equals(TIMER)) {
            leases.requestLease(nowUs);
            onConsensusChanged(nowUs);
            environment.scheduleTimer(TIMER, settings.intervalUs());
        }
    }

    /** Handles a datagram; one that is malformed or meant for another process is dropped. */
    public void onDatagram(long nowUs, byte[] datagram) {
        leases.onDatagram(nowUs, datagram);
    }

    /** Looks at what has changed; to be called after each call of the consensus node. */
    public void onConsensusChanged(long nowUs) {
        if (consensus.view().epoch() != epoch) {
            epoch = consensus.view().epoch();
            epochSinceUs = nowUs;
        }
        wasMember |= consensus.view().has(self);
        leases.updateRole(nowUs);
        reportStateChanges();
        updateExcludedUpstreams(nowUs);
        proposeOwnReports(nowUs);
        if (leases.isLeader() && consensus.hasQuorum(nowUs)) {
            scheduler.run(nowUs, epoch, epochSinceUs, present);
        }
    }

    /** Whether this process may send to an upstream at this moment. */
    public boolean maySend(long nowUs, String upstream) {
        MaintenanceJob job = state.activeJobOfUpstream(upstream).orElse(null);
        if (job == null) {
            return true;
        }
        boolean isKnown =
                (hasLease(nowUs) && !state.isDoubtful(job)) || job.state() == JobState.WARMING;
        return !job.state().aside() && (isKnown || (job.isReserved() && wasMember));
    }

    /** Whether this process has a lease to send by what it knows. */
    public boolean hasLease(long nowUs) {
        return leases.hasLease(nowUs);
    }

    /** Whether the cluster knows this process as a sender; before that it should not send. */
    public boolean isRegistered() {
        return state.isRegistered(self);
    }

    /** How many datagrams were dropped, by reason. */
    public Map<String, Long> droppedDatagrams() {
        return leases.droppedDatagrams();
    }

    /** What a job waits for, as operators see it; null if it waits for nothing. */
    public String waitReason(MaintenanceJob job) {
        return scheduler.waitReason(job);
    }

    /** Proposes what an operator or worker has requested. */
    public void propose(long nowUs, OperatorCommand command) {
        proposer.propose(nowUs, command);
    }

    private void reportStateChanges() {
        List<MaintenanceJob> jobs = state.jobs();
        lastStates.keySet().retainAll(jobs.stream().map(MaintenanceJob::machine).toList());
        for (MaintenanceJob job : jobs) {
            if (lastStates.put(job.machine(), job.state()) != job.state()) {
                environment.onJobStateChanged(job);
                switch (job.state()) {
                    case DRAINING -> environment.onFaultPoint(MaintenanceFaultPoint.ORDERED);
                    case OUT -> environment.onFaultPoint(MaintenanceFaultPoint.GRANTED);
                    case WARMING -> environment.onFaultPoint(MaintenanceFaultPoint.DONE);
                    default -> {}
                }
            }
        }
    }

    private void updateExcludedUpstreams(long nowUs) {
        Set<String> excluded = new TreeSet<>();
        for (MaintenanceJob job : state.jobs()) {
            String upstream = job.spec().upstream();
            if (upstream != null && !job.state().over() && !maySend(nowUs, upstream)) {
                excluded.add(upstream);
            }
        }
        if (!excluded.equals(excludedUpstreams)) {
            excludedUpstreams = excluded;
            environment.setExcludedUpstreams(excluded);
        }
    }

    /** Proposes the reports that the cluster waits for from this process. */
    private void proposeOwnReports(long nowUs) {
        if (!isRegistered()) {
            proposer.propose(
                    nowUs,
                    MaintenanceCommand.of(MaintenanceCommand.Kind.REGISTER, self.name(), null));
            return;
        }
        reportKnownPlan(nowUs);
        for (MaintenanceJob job : state.jobs()) {
            String upstream = job.spec().upstream();
            if (job.state() == JobState.DRAINING
                    && !job.drainedSenders().contains(self)
                    && (upstream == null || environment.inFlightAttempts(upstream) == 0)) {
                proposer.propose(
                        nowUs,
                        MaintenanceCommand.of(
                                MaintenanceCommand.Kind.CLEAR, job.machine(), job.orderToken()));
            }
        }
    }

    /** Reports the latest plan once no attempt from before it was known can be in flight. */
    private void reportKnownPlan(long nowUs) {
        FencingToken latest =
                state.completePlans().values().stream().max(FencingToken::compareTo).orElse(null);
        if (latest != null && !latest.equals(latestPlan)) {
            latestPlan = latest;
            latestPlanSinceUs = nowUs;
            environment.onFaultPoint(MaintenanceFaultPoint.PLANNED);
        }
        FencingToken reported = state.knownPlan(self);
        if (latest != null
                && (reported == null || reported.compareTo(latest) < 0)
                && nowUs - latestPlanSinceUs >= settings.longestAttemptUs()) {
            proposer.propose(
                    nowUs,
                    MaintenanceCommand.of(MaintenanceCommand.Kind.KNOW, self.name(), latest));
        }
    }
}
