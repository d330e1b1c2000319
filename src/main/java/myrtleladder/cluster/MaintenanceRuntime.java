package myrtleladder.cluster;

import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import myrtleladder.consensus.ProcessId;
import myrtleladder.maintenance.MaintenanceCoordinator;
import myrtleladder.maintenance.MaintenanceEnvironment;
import myrtleladder.maintenance.MaintenanceFaultPoint;
import myrtleladder.maintenance.MaintenanceJob;
import myrtleladder.maintenance.MaintenanceSettings;
import myrtleladder.maintenance.MaintenanceStateMachine;
import myrtleladder.maintenance.OperatorCommand;

/**
 * Runs this process's part in the maintenance of machines, on the event loop and by the datagrams
 * of its consensus. It connects the protocol with the load balancer beside it, whose attempts show
 * how upstreams do.
 *
 * <p>{@link #start}, {@link #status}, {@link #isRegistered} and {@link #submit} may be called by
 * any thread; all other methods only on the event loop.
 */
public final class MaintenanceRuntime implements MaintenanceEnvironment {
    private static final System.Logger LOG = System.getLogger(MaintenanceRuntime.class.getName());

    private final ConsensusRuntime consensus;
    private final MaintenanceStateMachine stateMachine;
    private final MaintenanceCoordinator coordinator;
    private final LoadBalancerControl loadBalancer;
    private final Consumer<? super MaintenanceFaultPoint> faultPoints;
    private final UpstreamTrials trials = new UpstreamTrials();
    private Set<String> excludedUpstreams = Set.of();

    private MaintenanceRuntime(
            ConsensusRuntime consensus,
            MaintenanceStateMachine stateMachine,
            MaintenanceSettings settings,
            LoadBalancerControl loadBalancer,
            Consumer<? super MaintenanceFaultPoint> faultPoints) {
        this.consensus = consensus;
        this.stateMachine = stateMachine;
        this.loadBalancer = loadBalancer;
        this.faultPoints = faultPoints;
        this.coordinator =
                new MaintenanceCoordinator(
                        settings, consensus.self(), consensus.node(), stateMachine, this);
    }

    /**
     * Takes part in the maintenance from now on.
     *
     * @param stateMachine the one that the consensus applies commands to
     * @param faultPoints gets each fault point that is passed; for the test bed
     */
    public static MaintenanceRuntime start(
            ConsensusRuntime consensus,
            MaintenanceStateMachine stateMachine,
            MaintenanceSettings settings,
            LoadBalancerControl loadBalancer,
            Consumer<? super MaintenanceFaultPoint> faultPoints) {
        return consensus
                .loop()
                .submit(
                        () -> {
                            MaintenanceRuntime runtime =
                                    new MaintenanceRuntime(
                                            consensus,
                                            stateMachine,
                                            settings,
                                            loadBalancer,
                                            faultPoints);
                            consensus.attach(runtime);
                            runtime.coordinator.start(runtime.nowUs());
                            return runtime;
                        })
                .syncUninterruptibly()
                .getNow();
    }

    private long nowUs() {
        return consensus.nowUs();
    }

    /** Whether the load balancer may start an attempt at an upstream now. */
    public boolean maySend(String upstream) {
        return coordinator.maySend(nowUs(), upstream);
    }

    /** An attempt at an upstream has ended. */
    public void onAttemptEnded(String upstream, boolean wasServed, long latencyUs) {
        trials.onAttemptEnded(upstream, wasServed, latencyUs);
    }

    /** Runs a task on the event loop. */
    public <T> Future<T> submit(Callable<T> task) {
        return consensus.loop().submit(task);
    }

    /** Whether the fleet knows of this process. */
    public Future<Boolean> isRegistered() {
        return submit(coordinator::isRegistered);
    }

    /** What this process knows of the maintenance, read on the event loop. */
    public Future<MaintenanceStatus> status() {
        return submit(this::currentStatus);
    }

    private MaintenanceStatus currentStatus() {
        List<MaintenanceStatus.JobStatus> jobs = new ArrayList<>();
        for (MaintenanceJob job : stateMachine.jobs()) {
            jobs.add(status(job));
        }
        return new MaintenanceStatus(
                jobs,
                stateMachine.haltReason(),
                stateMachine.isSafe(),
                coordinator.hasLease(nowUs()),
                coordinator.isRegistered(),
                stateMachine.gone().stream().map(ProcessId::toString).toList(),
                stateMachine.refusals(),
                coordinator.droppedDatagrams());
    }

    private MaintenanceStatus.JobStatus status(MaintenanceJob job) {
        return new MaintenanceStatus.JobStatus(
                job.machine(),
                job.plan(),
                job.state().name(),
                job.permit(),
                job.untilMs(),
                job.isReserved(),
                coordinator.waitReason(job),
                job.reason());
    }

    /** The epoch of the agreed view. */
    public long epoch() {
        return consensus.node().view().epoch();
    }

    /** Whether a majority of the voting members is reached. */
    public boolean hasMajority() {
        return consensus.node().hasQuorum(nowUs());
    }

    /** The last job of a machine, null if it has none. */
    public MaintenanceJob job(String machine) {
        return stateMachine.job(machine);
    }

    /** All upstreams that discovery has reported. */
    public List<LoadBalancerControl.Upstream> upstreams() {
        return loadBalancer.upstreams();
    }

    /** Proposes commands in this order; whether they are committed shows in the status. */
    public void propose(List<OperatorCommand> commands) {
        for (OperatorCommand command : commands) {
            coordinator.propose(nowUs(), command);
        }
    }

    void onDatagram(byte[] datagram) {
        coordinator.onDatagram(nowUs(), datagram);
    }

    void onMembershipChanged(Set<ProcessId> presentProcesses) {
        coordinator.onMembershipObserved(presentProcesses);
    }

    void onConsensusProgress(long nowUs) {
        coordinator.onConsensusChanged(nowUs);
    }

    @Override
    public void send(String name, byte[] datagram) {
        consensus.sendIfPresent(name, datagram);
    }

    @Override
    public void scheduleTimer(String token, long delayUs) {
        consensus
                .loop()
                .schedule(
                        () -> coordinator.onTimer(nowUs(), token), delayUs, TimeUnit.MICROSECONDS);
    }

    @Override
    public long wallClockMs() {
        return System.currentTimeMillis();
    }

    @Override
    public int inFlightAttempts(String upstream) {
        return loadBalancer.inFlight(upstream);
    }

    @Override
    public void setExcludedUpstreams(Set<String> upstreams) {
        Set<String> returned = new HashSet<>(excludedUpstreams);
        returned.removeAll(upstreams);
        returned.retainAll(trials.onTrial());
        excludedUpstreams = Set.copyOf(upstreams);
        loadBalancer.excludeUpstreams(excludedUpstreams, returned);
    }

    @Override
    public List<String> failingUpstreams() {
        return trials.failing(loadBalancer.upstreams()).stream()
                .sorted()
                .limit(MaintenanceStateMachine.MAX_FAILING_UPSTREAMS)
                .toList();
    }

    @Override
    public boolean canJudge(String upstream) {
        return trials.isComplete(nowUs(), upstream);
    }

    @Override
    public String degradation(String upstream) {
        return trials.regression(upstream);
    }

    /** A job has changed its state: begins or ends the trial of its upstream and logs it. */
    @Override
    public void onJobStateChanged(MaintenanceJob job) {
        updateTrial(job);
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("machine", job.machine());
        fields.put("plan", job.plan());
        fields.put("state", job.state());
        if (job.permit() != null) {
            fields.put("permit", job.permit().epoch() + "." + job.permit().index());
        }
        String reason = job.reason() == null ? "" : ": " + job.reason();
        LOG.log(
                System.Logger.Level.INFO,
                "machine " + job.machine() + " " + job.state() + reason,
                fields);
    }

    private void updateTrial(MaintenanceJob job) {
        String upstream = job.spec().upstream();
        if (upstream == null) {
            return;
        }
        switch (job.state()) {
            case WARMING -> trials.start(nowUs(), upstream);
            case DRAINING, OUT, IN, FAILED -> trials.forget(upstream);
            default -> {
                // In all other states the upstream goes on as before.
            }
        }
    }

    @Override
    public void onFaultPoint(MaintenanceFaultPoint point) {
        faultPoints.accept(point);
    }
}
