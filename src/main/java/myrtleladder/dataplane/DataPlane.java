package myrtleladder.dataplane;

import java.util.List;
import java.util.SplittableRandom;
import myrtleladder.configuration.Configuration;
import myrtleladder.protocol.BalancerAddress;
import myrtleladder.scheduler.Scheduler;

/**
 * The components of a balancer's data plane, what they share, and their periodic work. Confined to
 * the event loop of its scheduler, like all that it hands out; {@link Main} and {@link
 * ControlPoller} call it there.
 */
final class DataPlane {
    /** Interval at which deadlines and unresponsive upstreams are looked for. */
    private static final long CHECK_INTERVAL_MS = 50;

    /** Mean interval of the reweighting, each drawn from half of it to one and a half. */
    private static final long REWEIGHT_INTERVAL_MS = 250;

    private final Scheduler scheduler;
    private final ConnectionPool connections;
    private final RetryBudget retryBudget;
    private final TenantQuotaClient quotas;
    private final WarmupContext warmupContext;
    private final UpstreamDirectory directory;
    private final FleetLoadSync fleetLoads;
    private final PrefillTimeEstimator prefillTime = new PrefillTimeEstimator();
    private final UpstreamPicker picker;
    private final AdmissionController admission = new AdmissionController();
    private final RetryPolicy retryPolicy;
    private final UnresponsiveUpstreamDetector unresponsiveDetector;
    private final ActiveRequests activeRequests = new ActiveRequests();
    private final RequestCounters counters = new RequestCounters();
    private final SplittableRandom random;
    private final RequestRouter router;
    private Configuration configuration;
    private long nextReweightAtMs;

    /**
     * Creates the components.
     *
     * @param seed seeds all random draws, and tells this process from others of the same balancer
     */
    DataPlane(
            Scheduler scheduler,
            ConnectionPool connections,
            RetryBudget retryBudget,
            TenantQuotaClient.QuotaAllocator allocator,
            WeightsRollout weightsRollout,
            WarmupSettings warmupSettings,
            long seed) {
        this.scheduler = scheduler;
        this.connections = connections;
        this.retryBudget = retryBudget;
        this.quotas = new TenantQuotaClient(allocator, seed);
        this.warmupContext = new WarmupContext(warmupSettings);
        this.directory =
                new UpstreamDirectory(
                        upstream -> connections.closeExpired(), warmupContext, scheduler);
        this.fleetLoads = new FleetLoadSync(directory, seed);
        this.picker =
                new UpstreamPicker(directory, connections, fleetLoads, prefillTime, weightsRollout);
        this.retryPolicy = new RetryPolicy(retryBudget);
        this.unresponsiveDetector = new UnresponsiveUpstreamDetector(prefillTime);
        this.random = new SplittableRandom(seed);
        this.router = new RequestRouter(this, random);
    }

    /** Starts the periodic work; called once. */
    void start() {
        runPeriodicWork();
    }

    private void runPeriodicWork() {
        scheduler.schedule(CHECK_INTERVAL_MS, this::runPeriodicWork);
        long nowMs = nowMs();
        quotas.advanceClock(nowMs);
        activeRequests.checkTimeouts(nowMs);
        if (nowMs >= nextReweightAtMs) {
            nextReweightAtMs =
                    nowMs + REWEIGHT_INTERVAL_MS / 2 + random.nextLong(REWEIGHT_INTERVAL_MS);
            picker.updateWeights(nowMs);
            warmupContext.counters().logStates(directory.all(), nowMs);
            connections.closeExpired();
        }
    }

    /** Puts a newer configuration into force. */
    void applyConfiguration(Configuration next) {
        configuration = next;
        directory.applyConfiguration(next);
        quotas.applyConfiguration(next);
    }

    /** The configuration in force, null before the first one. */
    Configuration configuration() {
        return configuration;
    }

    /** Sets the number of balancers among which quotas, budgets and connections are divided. */
    void setBalancers(int count) {
        picker.setBalancerCount(count);
        retryBudget.setBalancerCount(count);
        quotas.setBalancerCount(count);
    }

    /** Replaces the list of balancers, among which budgets of cold upstreams are divided. */
    void setBalancerList(List<BalancerAddress> balancers) {
        warmupContext.setBalancers(balancers, nowMs());
        directory.balancerListChanged();
    }

    /** The primary of an epoch answered a poll. */
    void pollAnswered(long epoch) {
        warmupContext.recordPollResponse(epoch, nowMs());
    }

    /** What the warm-ups of all upstreams share. */
    WarmupContext warmup() {
        return warmupContext;
    }

    /** Milliseconds of the scheduler's monotonic clock. */
    long nowMs() {
        return scheduler.now();
    }

    Scheduler scheduler() {
        return scheduler;
    }

    RequestRouter router() {
        return router;
    }

    UpstreamDirectory directory() {
        return directory;
    }

    ConnectionPool connections() {
        return connections;
    }

    FleetLoadSync fleetLoads() {
        return fleetLoads;
    }

    PrefillTimeEstimator prefillTime() {
        return prefillTime;
    }

    UpstreamPicker picker() {
        return picker;
    }

    AdmissionController admission() {
        return admission;
    }

    TenantQuotaClient quotas() {
        return quotas;
    }

    RetryBudget retryBudget() {
        return retryBudget;
    }

    RetryPolicy retryPolicy() {
        return retryPolicy;
    }

    UnresponsiveUpstreamDetector unresponsiveDetector() {
        return unresponsiveDetector;
    }

    ActiveRequests activeRequests() {
        return activeRequests;
    }

    RequestCounters counters() {
        return counters;
    }
}
