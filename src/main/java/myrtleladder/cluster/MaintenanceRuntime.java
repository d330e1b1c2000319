package myrtleladder.cluster;

import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import myrtleladder.consensus.ConsensusNode;
import myrtleladder.consensus.ProcessId;
import myrtleladder.maintenance.MaintenanceCoordinator;
import myrtleladder.maintenance.MaintenanceEnvironment;
import myrtleladder.maintenance.MaintenanceFaultPoint;
import myrtleladder.maintenance.MaintenanceJob;
import myrtleladder.maintenance.MaintenanceSettings;
import myrtleladder.maintenance.MaintenanceStateMachine;
import myrtleladder.maintenance.OperatorCommand;

/**
 * A process's part in the work on machines, beside its agreement: on the same event loop, by the
 * same datagrams. It sees how upstreams do by what becomes of this process's own attempts.
 */
public final class MaintenanceRuntime implements MaintenanceEnvironment {
    private static final System.Logger LOG = System.getLogger(MaintenanceRuntime.class.getName());

    /** An upstream that has not served so many attempts in a row fails. */
    private static final int FAILS = 5;

    /** So many attempts, or so long, are enough to judge one that is back. */
    private static final int ENOUGH = 20;

    private static final long LONG_ENOUGH = 10_000_000;
    private static final int FEWEST = 5;
    private static final double BAD = 0.5;

    /**
     * So many times as long as its fellows take is worse; cold upstreams take up to a few times as
     * long.
     */
    private static final double SLOW = 8;

    private static final double SMOOTH = 0.02;

    private final ConsensusRuntime agreement;
    private final MaintenanceStateMachine agenda;
    private final MaintenanceCoordinator work;
    private final LoadBalancerControl balancing;
    private final Consumer<? super MaintenanceFaultPoint> points;
    private final Map<String, Integer> notServed = new HashMap<>();
    private final Map<String, Tally> tallies = new HashMap<>();
    private Set<String> away = Set.of();

    /** What an answer of the others takes, smoothed, in microseconds; 0 until there was one. */
    private double fellowsTook;

    /** How an upstream does that is back. */
    private static final class Tally {
        final long since;
        int served;
        int failed;
        long took;

        Tally(long since) {
            this.since = since;
        }
    }

    private MaintenanceRuntime(
            ConsensusRuntime agreement,
            ConsensusNode core,
            MaintenanceStateMachine agenda,
            MaintenanceSettings settings,
            LoadBalancerControl balancing,
            Consumer<? super MaintenanceFaultPoint> points) {
        this.agreement = agreement;
        this.agenda = agenda;
        this.balancing = balancing;
        this.points = points;
        this.work = new MaintenanceCoordinator(settings, agreement.me(), core, agenda, this);
    }

    /** Takes part from now on; {@code agenda} is what the agreement feeds. */
    public static MaintenanceRuntime start(
            ConsensusRuntime agreement,
            MaintenanceStateMachine agenda,
            MaintenanceSettings settings,
            LoadBalancerControl balancing,
            Consumer<? super MaintenanceFaultPoint> points) {
        return agreement
                .loop()
                .submit(
                        () -> {
                            MaintenanceRuntime carrier =
                                    new MaintenanceRuntime(
                                            agreement,
                                            agreement.core(),
                                            agenda,
                                            settings,
                                            balancing,
                                            points);
                            agreement.host(carrier);
                            carrier.work.start(carrier.now());
                            return carrier;
                        })
                .syncUninterruptibly()
                .getNow();
    }

    private long now() {
        return agreement.now();
    }

    // ---- For the balancer, on the loop
    // -----------------------------------------------------------------

    /** Whether an attempt may begin now. */
    public boolean maySend(String upstream) {
        return work.maySend(now(), upstream);
    }

    /** An attempt is over after so many microseconds. */
    public void ended(String upstream, boolean served, long took) {
        if (served) {
            notServed.remove(upstream);
        } else {
            notServed.merge(upstream, 1, Integer::sum);
        }
        Tally tally = tallies.get(upstream);
        if (tally != null) {
            tally.served += served ? 1 : 0;
            tally.failed += served ? 0 : 1;
            tally.took += served ? took : 0;
        } else if (served) {
            fellowsTook += (fellowsTook == 0 ? 1 : SMOOTH) * (took - fellowsTook);
        }
    }

    // ---- For operators
    // ---------------------------------------------------------------------------------

    /** Has something done on the loop. */
    public <T> Future<T> ask(Callable<T> what) {
        return agreement.loop().submit(what);
    }

    /** Whether the fleet knows of this process. */
    public Future<Boolean> registered() {
        return agreement.loop().submit(work::isRegistered);
    }

    /** What it holds, as of soon. */
    public Future<MaintenanceStatus> look() {
        return agreement
                .loop()
                .submit(
                        () -> {
                            List<MaintenanceStatus.JobStatus> jobs = new ArrayList<>();
                            for (MaintenanceJob job : agenda.jobs()) {
                                jobs.add(
                                        new MaintenanceStatus.JobStatus(
                                                job.machine(),
                                                job.plan(),
                                                job.state().name(),
                                                job.permit(),
                                                job.until(),
                                                job.reserved(),
                                                work.waitReason(job),
                                                job.why()));
                            }
                            return new MaintenanceStatus(
                                    jobs,
                                    agenda.haltReason(),
                                    agenda.isSafe(),
                                    work.hasLease(now()),
                                    work.isRegistered(),
                                    agenda.gone().stream().map(ProcessId::toString).toList(),
                                    agenda.refusals(),
                                    work.droppedDatagrams());
                        });
    }

    /** The epoch of the view; on the loop. */
    public long epoch() {
        return agreement.core().view().epoch();
    }

    /** Whether a majority stands behind what is heard here; on the loop. */
    public boolean decides() {
        return agreement.core().hasQuorum(now());
    }

    /** The last job of a machine, null if it has none; on the loop. */
    public MaintenanceJob job(String machine) {
        return agenda.job(machine);
    }

    /** All upstreams; on the loop. */
    public List<LoadBalancerControl.Upstream> upstreams() {
        return balancing.listed();
    }

    /** Has steps decided, in this order; on the loop. */
    public void propose(List<OperatorCommand> steps) {
        steps.forEach(s -> work.propose(now(), s));
    }

    // ---- From the agreement, on the loop
    // ---------------------------------------------------------------

    void received(byte[] datagram) {
        work.onDatagram(now(), datagram);
    }

    void present(Set<ProcessId> lives) {
        work.onMembershipObserved(lives);
    }

    /** The agreement has been at work. */
    void look(long now) {
        work.onConsensusChanged(now);
    }

    // ---- What the core asks for
    // ------------------------------------------------------------------------

    @Override
    public void send(String name, byte[] datagram) {
        agreement.sendIfThere(name, datagram);
    }

    @Override
    public void scheduleTimer(String timer, long delayUs) {
        agreement.loop().schedule(() -> work.onTimer(now(), timer), delayUs, TimeUnit.MICROSECONDS);
    }

    @Override
    public long wallClockMs() {
        return System.currentTimeMillis();
    }

    @Override
    public int inFlightAttempts(String upstream) {
        return balancing.inFlight(upstream);
    }

    @Override
    public void setExcludedUpstreams(Set<String> upstreams) {
        Set<String> cold = new HashSet<>(away);
        cold.removeAll(upstreams);
        cold.retainAll(tallies.keySet());
        away = Set.copyOf(upstreams);
        balancing.setAside(away, cold);
    }

    @Override
    public List<String> failingUpstreams() {
        Set<String> failing = new HashSet<>();
        balancing.listed().stream().filter(u -> !u.ready()).forEach(u -> failing.add(u.id()));
        notServed.forEach(
                (upstream, times) -> {
                    if (times >= FAILS) {
                        failing.add(upstream);
                    }
                });
        return failing.stream()
                .sorted()
                .limit(MaintenanceStateMachine.MAX_FAILING_UPSTREAMS)
                .toList();
    }

    @Override
    public boolean canJudge(String upstream) {
        Tally tally = tallies.get(upstream);
        return tally != null
                && (tally.served + tally.failed >= ENOUGH || now() - tally.since >= LONG_ENOUGH);
    }

    @Override
    public String degradation(String upstream) {
        Tally tally = tallies.get(upstream);
        int all = tally.served + tally.failed;
        if (all >= FEWEST && tally.failed > BAD * all) {
            return tally.failed + " of " + all + " attempts failed";
        }
        double mean = tally.served < FEWEST ? 0 : (double) tally.took / tally.served;
        return fellowsTook > 0 && mean > SLOW * fellowsTook
                ? String.format(
                        Locale.ROOT,
                        "answers take %.1f ms, those of its fellows %.1f",
                        mean / 1e3,
                        fellowsTook / 1e3)
                : null;
    }

    @Override
    public void onJobStateChanged(MaintenanceJob job) {
        String upstream = job.part().upstream();
        if (upstream != null) {
            switch (job.state()) {
                case WARMING -> tallies.put(upstream, new Tally(now()));
                case DRAINING, OUT, IN, FAILED -> {
                    tallies.remove(upstream);
                    notServed.remove(upstream);
                }
                default -> {}
            }
        }
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("machine", job.machine());
        fields.put("plan", job.plan());
        fields.put("state", job.state());
        if (job.permit() != null) {
            fields.put("permit", job.permit().epoch() + "." + job.permit().index());
        }
        LOG.log(
                System.Logger.Level.INFO,
                "machine "
                        + job.machine()
                        + " "
                        + job.state()
                        + (job.why() == null ? "" : ": " + job.why()),
                fields);
    }

    @Override
    public void onFaultPoint(MaintenanceFaultPoint point) {
        points.accept(point);
    }
}
