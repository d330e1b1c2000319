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
import myrtleladder.consensus.Life;
import myrtleladder.maintenance.Agenda;
import myrtleladder.maintenance.Job;
import myrtleladder.maintenance.Step;
import myrtleladder.maintenance.Work;
import myrtleladder.maintenance.WorkPoint;
import myrtleladder.maintenance.WorkSettings;

/**
 * Runs this process's part in the maintenance of machines, on the event loop and by the datagrams
 * of its consensus. It connects the protocol with the load balancer beside it, whose attempts show
 * how upstreams do.
 *
 * <p>{@link #start}, {@link #status}, {@link #isRegistered} and {@link #submit} may be called by
 * any thread; all other methods only on the event loop.
 */
public final class MaintenanceRuntime implements Work.Out {
    private static final System.Logger LOG = System.getLogger(MaintenanceRuntime.class.getName());

    private final ConsensusRuntime consensus;
    private final Agenda stateMachine;
    private final Work coordinator;
    private final LoadBalancerControl loadBalancer;
    private final Consumer<? super WorkPoint> faultPoints;
    private final UpstreamTrials trials = new UpstreamTrials();
    private Set<String> excludedUpstreams = Set.of();

    private MaintenanceRuntime(
            ConsensusRuntime consensus,
            Agenda stateMachine,
            WorkSettings settings,
            LoadBalancerControl loadBalancer,
            Consumer<? super WorkPoint> faultPoints) {
        this.consensus = consensus;
        this.stateMachine = stateMachine;
        this.loadBalancer = loadBalancer;
        this.faultPoints = faultPoints;
        this.coordinator =
                new Work(settings, consensus.self(), consensus.node(), stateMachine, this);
    }

    /**
     * Takes part in the maintenance from now on.
     *
     * @param stateMachine the one that the consensus applies commands to
     * @param faultPoints gets each fault point that is passed; for the test bed
     */
    public static MaintenanceRuntime start(
            ConsensusRuntime consensus,
            Agenda stateMachine,
            WorkSettings settings,
            LoadBalancerControl loadBalancer,
            Consumer<? super WorkPoint> faultPoints) {
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
                            runtime.coordinator.started(runtime.nowUs());
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
        return submit(coordinator::registered);
    }

    /** What this process knows of the maintenance, read on the event loop. */
    public Future<MaintenanceStatus> status() {
        return submit(this::currentStatus);
    }

    private MaintenanceStatus currentStatus() {
        List<MaintenanceStatus.JobStatus> jobs = new ArrayList<>();
        for (Job job : stateMachine.jobs()) {
            jobs.add(status(job));
        }
        return new MaintenanceStatus(
                jobs,
                stateMachine.halted(),
                stateMachine.isSafe(),
                coordinator.hasLeave(nowUs()),
                coordinator.registered(),
                stateMachine.gone().stream().map(Life::toString).toList(),
                stateMachine.refusals(),
                coordinator.refused());
    }

    private MaintenanceStatus.JobStatus status(Job job) {
        return new MaintenanceStatus.JobStatus(
                job.machine(),
                job.plan(),
                job.state().name(),
                job.permit(),
                job.until(),
                job.reserved(),
                coordinator.waits(nowUs(), job),
                job.why());
    }

    /** The epoch of the agreed view. */
    public long epoch() {
        return consensus.node().view().epoch();
    }

    /** Whether a majority of the voting members is reached. */
    public boolean hasMajority() {
        return consensus.node().decides(nowUs());
    }

    /** The last job of a machine, null if it has none. */
    public Job job(String machine) {
        return stateMachine.job(machine);
    }

    /** All upstreams that discovery has reported. */
    public List<LoadBalancerControl.Upstream> upstreams() {
        return loadBalancer.upstreams();
    }

    /** Proposes commands in this order; whether they are committed shows in the status. */
    public void propose(List<Step> commands) {
        for (Step command : commands) {
            coordinator.propose(nowUs(), command);
        }
    }

    void onDatagram(byte[] datagram) {
        coordinator.received(nowUs(), datagram);
    }

    void onMembershipChanged(Set<Life> presentProcesses) {
        coordinator.present(presentProcesses);
    }

    void onConsensusProgress(long nowUs) {
        coordinator.look(nowUs);
    }

    @Override
    public void send(String name, byte[] datagram) {
        consensus.sendIfPresent(name, datagram);
    }

    @Override
    public void timer(String token, long delayUs) {
        consensus
                .loop()
                .schedule(() -> coordinator.due(nowUs(), token), delayUs, TimeUnit.MICROSECONDS);
    }

    @Override
    public long wallMillis() {
        return System.currentTimeMillis();
    }

    @Override
    public int inFlight(String upstream) {
        return loadBalancer.inFlight(upstream);
    }

    @Override
    public void aside(Set<String> upstreams) {
        Set<String> returned = new HashSet<>(excludedUpstreams);
        returned.removeAll(upstreams);
        returned.retainAll(trials.onTrial());
        excludedUpstreams = Set.copyOf(upstreams);
        loadBalancer.excludeUpstreams(excludedUpstreams, returned);
    }

    @Override
    public List<String> failing() {
        return trials.failing(loadBalancer.upstreams()).stream()
                .sorted()
                .limit(Agenda.MOST_FAILING)
                .toList();
    }

    @Override
    public boolean judged(String upstream) {
        return trials.isComplete(nowUs(), upstream);
    }

    @Override
    public String worse(String upstream) {
        return trials.regression(upstream);
    }

    /** A job has changed its state: begins or ends the trial of its upstream and logs it. */
    @Override
    public void moved(Job job) {
        updateTrial(job);
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("machine", job.machine());
        fields.put("plan", job.plan());
        fields.put("state", job.state());
        if (job.permit() != null) {
            fields.put("permit", job.permit().epoch() + "." + job.permit().index());
        }
        String reason = job.why() == null ? "" : ": " + job.why();
        LOG.log(
                System.Logger.Level.INFO,
                "machine " + job.machine() + " " + job.state() + reason,
                fields);
    }

    private void updateTrial(Job job) {
        String upstream = job.part().upstream();
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
    public void point(WorkPoint point) {
        faultPoints.accept(point);
    }
}
