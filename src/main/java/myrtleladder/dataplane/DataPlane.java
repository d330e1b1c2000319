package myrtleladder.dataplane;

import java.util.List;
import java.util.SplittableRandom;
import myrtleladder.configuration.Configuration;
import myrtleladder.protocol.BalancerAddress;
import myrtleladder.scheduler.Scheduler;

/**
 * Creates and connects the components of a balancer's data plane, and runs their periodic work.
 * Confined to the event loop of its scheduler, like all components that it returns; {@link Main}
 * and {@link ControlPoller} call it there.
 */
final class DataPlane {
    /** Interval at which deadlines and unresponsive upstreams are checked. */
    private static final long TIMEOUT_CHECK_INTERVAL_MS = 50;

    /** Mean interval of reweighting; each interval is random, from 0.5 to 1.5 times the mean. */
    private static final long REWEIGHT_INTERVAL_MS = 250;

    private final Scheduler scheduler;
    private final ConnectionPool connections;
    private final RetryBudget retryBudget;
    private final TenantQuotaClient quotas;
    private final QuotaUsageLog quotaUsageLog;
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
     * @param retryBudget limits the retries of each service
     * @param allocator requests quota from the primary
     * @param seed seed of the random number generators; also identifies this process among those of
     *     the same balancer
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
        this.quotaUsageLog = new QuotaUsageLog(quotas);
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
        scheduler.schedule(TIMEOUT_CHECK_INTERVAL_MS, this::runPeriodicWork);
        long nowMs = nowMs();
        quotas.advanceClock(nowMs);
        activeRequests.checkTimeouts(nowMs);
        if (nowMs >= nextReweightAtMs) {
            nextReweightAtMs =
                    nowMs + REWEIGHT_INTERVAL_MS / 2 + random.nextLong(REWEIGHT_INTERVAL_MS);
            picker.updateWeights(nowMs);
            warmupContext.counters().logStates(directory.all(), nowMs);
            connections.closeExpired();
            quotaUsageLog.logIfDue(nowMs);
        }
    }

    /** Replaces the configuration. */
    void applyConfiguration(Configuration next) {
        configuration = next;
        directory.applyConfiguration(next);
        quotas.applyConfiguration(next);
    }

    /** Returns the current configuration, null before the first one was received. */
    Configuration configuration() {
        return configuration;
    }

    /**
     * Sets the number of balancers that share quotas, retry budgets and connection limits.
     *
     * @param isComplete whether all balancers have had time to poll the primary
     */
    void setBalancerCount(int count, boolean isComplete) {
        picker.setBalancerCount(count);
        retryBudget.setBalancerCount(count);
        quotas.setBalancerCount(count, isComplete);
    }

    /** Replaces the list of balancers that share the request budgets of cold upstreams. */
    void setBalancerList(List<BalancerAddress> balancers) {
        warmupContext.setBalancers(balancers, nowMs());
        directory.balancerListChanged();
    }

    /** Records that the primary of an epoch responded to a poll. */
    void recordPollResponse(long epoch) {
        warmupContext.recordPollResponse(epoch, nowMs());
        quotas.recordPollResponse(epoch, nowMs());
    }

    /** Returns the state that the warm-ups of all upstreams share. */
    WarmupContext warmupContext() {
        return warmupContext;
    }

    /** Returns the time of the scheduler's monotonic clock in milliseconds. */
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
