package myrtleladder.controlplane;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Stream;
import myrtleladder.configuration.Configuration;
import myrtleladder.http.ServerExchange;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.PollRequest;
import myrtleladder.protocol.QuotaRequest;
import myrtleladder.protocol.ShareInstancesRequest;
import myrtleladder.protocol.TallySyncRequest;
import myrtleladder.protocol.View;
import myrtleladder.replication.PeerTransport;
import myrtleladder.replication.Replica;
import myrtleladder.scheduler.Scheduler;
import myrtleladder.tally.Tallies;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The control plane on one node. Wires the components together, dispatches each request to the
 * handler of its path or message type, notifies the components when the node gains or loses the
 * primary role, and runs the periodic tasks. Only the primary makes decisions; other nodes refer
 * requests to it. {@link Tallies} are the exception: every node serves them.
 *
 * <p>{@link CommittedConfiguration}, {@link InstanceRegistry}, {@link BalancerRegistry}, {@link
 * FleetLoadExchange} and {@link QuotaAllocator} own the state; the {@link Replica} decides which
 * node is primary. Confined to the event loop.
 */
public final class ControlPlane implements Replica.Listener {
    private static final Logger LOG = LogManager.getLogger(ControlPlane.class);
    private static final String INSTANCES_PATH = "/instances/";
    private static final String DRAIN_PATH = "/drain/";

    /**
     * Timeout of a relayed poll, slightly shorter than the timeout of the balancer that sent it.
     */
    private static final long POLL_RELAY_TIMEOUT_MS = 700;

    /**
     * Timeout of a relayed quota request, slightly shorter than the timeout of the balancer that
     * sent it.
     */
    private static final long QUOTA_RELAY_TIMEOUT_MS = 200;

    private static final String TALLIES_PATH = "/tallies/";

    /** The interval of the periodic tasks. */
    private static final long TICK_INTERVAL_MS = 100;

    /** If more time passes between two ticks, the process is assumed to have been suspended. */
    private static final long SUSPENSION_THRESHOLD_MS = 400;

    /** An instance that misses more heartbeats than this is marked as lost. */
    private static final int MAX_MISSED_HEARTBEATS = 3;

    /**
     * Heartbeat intervals without a heartbeat after which an instance is assumed to be cold, since
     * it may have restarted.
     */
    private static final double MAX_HEARTBEAT_GAP_INTERVALS = 2.5;

    /**
     * Heartbeat intervals for which an instance is assumed to be cold unless a heartbeat states
     * otherwise.
     */
    private static final int ASSUMED_WARMUP_INTERVALS = 2;

    private final Scheduler scheduler;
    private final long heartbeatIntervalMs;
    private final InstanceRegistry instances = new InstanceRegistry();
    private final BalancerRegistry balancers = new BalancerRegistry();
    private final FleetLoadExchange fleetLoads = new FleetLoadExchange();
    private final CommittedConfiguration configuration =
            new CommittedConfiguration(this::configurationCommitted, this::committedStateUpdated);
    private final QuotaAllocator quotas;
    private final InstanceReplicator replicator;
    private final InstanceSaveScheduler saveScheduler;
    private final OperatorRequestQueue operatorRequests;
    private final ConfigurationRequestHandler configurationRequests;
    private final DrainRequestHandler drainRequests;
    private final InstanceRequestHandler instanceRequests;
    private final UpgradeRequestHandler upgradeRequests;
    private final StatusRequestHandler statusRequests;
    private final PollRequestHandler pollRequests;
    private final PrimaryRelay relay;
    private final QuotaRequestHandler quotaRequests;
    private final ShareInstancesRequestHandler shareInstancesRequests;
    private Replica replica;

    /** The tallies, or null if this node serves none. */
    private Tallies tallies;

    private TallyRequestHandler tallyRequests;
    private boolean isPrimary;
    private long primarySinceMs;
    private long lastTickMs;

    /**
     * Creates a control plane. {@link #attach} must be called before it is used.
     *
     * @param heartbeatIntervalMs the interval at which upstreams send heartbeats, in milliseconds
     * @param quotaOverageRatio the fraction by which grants may exceed a tenant's rate
     * @param quotaSlackUnits the units that may be granted at once beyond that
     * @param regionByZone the region of each zone whose region is known
     */
    public ControlPlane(
            Scheduler scheduler,
            PeerTransport peers,
            long heartbeatIntervalMs,
            double quotaOverageRatio,
            double quotaSlackUnits,
            Map<String, String> regionByZone) {
        this.scheduler = scheduler;
        this.heartbeatIntervalMs = heartbeatIntervalMs;
        quotas = new QuotaAllocator(quotaOverageRatio, quotaSlackUnits);
        replicator = new InstanceReplicator(scheduler, peers);
        relay = new PrimaryRelay(peers);
        saveScheduler = new InstanceSaveScheduler(scheduler);
        PollResponseBuilder pollResponses =
                new PollResponseBuilder(
                        scheduler,
                        instances,
                        balancers,
                        fleetLoads,
                        configuration,
                        () -> isInstanceListAuthoritative(scheduler.now()));
        pollRequests = new PollRequestHandler(scheduler, balancers, fleetLoads, pollResponses);
        operatorRequests = new OperatorRequestQueue(scheduler);
        configurationRequests = new ConfigurationRequestHandler(operatorRequests, configuration);
        drainRequests = new DrainRequestHandler(operatorRequests, configuration, this::assumeCold);
        instanceRequests =
                new InstanceRequestHandler(
                        scheduler,
                        instances,
                        replicator,
                        saveScheduler,
                        pollRequests,
                        this::isConfirmedPrimary);
        upgradeRequests =
                new UpgradeRequestHandler(
                        instances, balancers, regionByZone, this::isConfirmedPrimary);
        statusRequests = new StatusRequestHandler(configuration, instances, balancers);
        quotaRequests =
                new QuotaRequestHandler(scheduler, quotas, fleetLoads, this::isConfirmedPrimary);
        shareInstancesRequests =
                new ShareInstancesRequestHandler(scheduler, instances, saveScheduler);
    }

    /** Sets the tallies that this node serves. Must be called before {@link #attach}. */
    public void setTallies(Tallies served) {
        tallies = served;
        tallyRequests = new TallyRequestHandler(served);
        statusRequests.setTallies(served);
    }

    /** Sets the replica that determines which node is primary, and starts the periodic tasks. */
    public void attach(Replica attached) {
        replica = attached;
        replicator.attach(attached);
        relay.attach(attached);
        saveScheduler.attach(attached);
        operatorRequests.attach(attached);
        configurationRequests.attach(attached);
        drainRequests.attach(attached);
        instanceRequests.attach(attached);
        upgradeRequests.attach(attached);
        statusRequests.attach(attached);
        pollRequests.attach(attached);
        quotaRequests.attach(attached);
        shareInstancesRequests.attach(attached);
        instances.recover(attached.instancesAtStart(), scheduler.now());
        lastTickMs = scheduler.now();
        scheduler.schedule(TICK_INTERVAL_MS, this::tick);
        if (tallies != null) {
            tallies.start(this::memberAddresses);
        }
    }

    private List<String> memberAddresses() {
        View view = replica.view();
        if (view == null) {
            return List.of();
        }
        return Stream.concat(view.group.stream(), view.previousGroup.stream())
                .map(member -> member.address)
                .distinct()
                .toList();
    }

    /** Returns the upstream instances that this node knows. */
    public List<InstanceRecord> instances() {
        return instances.recordsAsOf(scheduler.now());
    }

    /** Handles an HTTP request to the control address. */
    public void handle(ServerExchange exchange) {
        String path = exchange.head().path();
        if (path.equals("/config")) {
            configurationRequests.handle(exchange);
        } else if (path.startsWith(INSTANCES_PATH)) {
            instanceRequests.handle(exchange, path.substring(INSTANCES_PATH.length()));
        } else if (path.startsWith(DRAIN_PATH)) {
            drainRequests.handle(exchange, path.substring(DRAIN_PATH.length()));
        } else if (path.startsWith(TALLIES_PATH) && tallies != null) {
            tallyRequests.handle(exchange, path.substring(TALLIES_PATH.length()));
        } else if (path.equals("/upgrade")) {
            upgradeRequests.handle(exchange);
        } else if (path.equals("/status")) {
            statusRequests.handle(exchange);
        } else {
            HttpResponses.sendEmpty(exchange, HttpResponses.NOT_FOUND);
        }
    }

    /**
     * Handles a message from another process of the fleet. {@code responder} receives the response,
     * or null if there is none.
     */
    public void receive(Message message, Consumer<Message> responder) {
        if (message instanceof PollRequest request) {
            receivePoll(request, responder);
        } else if (message instanceof QuotaRequest request) {
            receiveQuotaRequest(request, responder);
        } else if (message instanceof ShareInstancesRequest request) {
            shareInstancesRequests.handle(request, responder);
        } else if (message instanceof TallySyncRequest request && tallies != null) {
            tallies.receive(request, responder);
        } else if (!replica.receive(message, responder)) {
            responder.accept(null);
        }
    }

    private void receivePoll(PollRequest request, Consumer<Message> responder) {
        boolean isRelayWanted = request.relayWanted != null && request.relayWanted;
        request.relayWanted = null;
        if (isRelayWanted && relay.isAvailable()) {
            Runnable onFailure = () -> pollRequests.handle(request, responder);
            relay.relay(request, POLL_RELAY_TIMEOUT_MS, responder, onFailure);
        } else {
            pollRequests.handle(request, responder);
        }
    }

    private void receiveQuotaRequest(QuotaRequest request, Consumer<Message> responder) {
        boolean isRelayWanted = request.relayWanted != null && request.relayWanted;
        request.relayWanted = null;
        if (isRelayWanted && relay.isAvailable()) {
            Runnable onFailure = () -> responder.accept(quotaRequests.handle(request));
            relay.relay(request, QUOTA_RELAY_TIMEOUT_MS, responder, onFailure);
        } else {
            responder.accept(quotaRequests.handle(request));
        }
    }

    @Override
    public void onPrimacyGained(Collection<InstanceRecord> inherited) {
        if (!isPrimary) {
            primarySinceMs = scheduler.now();
            quotas.clear();
            fleetLoads.reset(primarySinceMs);
        }
        isPrimary = true;
        replicator.onPrimacyGained();
        instances.recover(inherited, scheduler.now());
        operatorRequests.onPrimacyGained();
        configuration.recover(replica.snapshot());
        LOG.info(
                "became primary in epoch {} with configuration generation {} and {} upstreams",
                replica.epoch(),
                configuration.generation(),
                instances.reportedRecords().size());
        pollRequests.onPrimacyGained();
        operatorRequests.tick(scheduler.now());
    }

    @Override
    public void onPrimacyLost() {
        isPrimary = false;
        replicator.onPrimacyLost();
        operatorRequests.onPrimacyLost();
        pollRequests.onPrimacyLost();
    }

    @Override
    public void onInstancesReceived(Collection<InstanceRecord> records) {
        records.forEach(record -> instances.merge(record, scheduler.now()));
    }

    private void configurationCommitted(Configuration committed, boolean isFirst) {
        quotas.configure(committed, isFirst, scheduler.now());
    }

    private void committedStateUpdated() {
        pollRequests.sendUpdates();
    }

    private boolean isConfirmedPrimary() {
        return isPrimary && replica.isRecentlyConfirmed();
    }

    /** Returns whether every live instance has had time to send a heartbeat to this primary. */
    private boolean isInstanceListAuthoritative(long nowMs) {
        return nowMs - primarySinceMs > MAX_MISSED_HEARTBEATS * heartbeatIntervalMs;
    }

    private void tick() {
        scheduler.schedule(TICK_INTERVAL_MS, this::tick);
        long nowMs = scheduler.now();
        long sinceLastTickMs = nowMs - lastTickMs;
        lastTickMs = nowMs;
        if (sinceLastTickMs > SUSPENSION_THRESHOLD_MS) {
            LOG.warn("the event loop was blocked or suspended for {} ms", sinceLastTickMs);
            instances.resetLastSeen(nowMs);
        }
        balancers.expire(nowMs);
        boolean isNewPrimary = !isInstanceListAuthoritative(nowMs);
        quotas.setBalancerCount(balancers.count(isNewPrimary));
        if (isPrimary) {
            double reservedShare = balancers.reservedShare(isNewPrimary, nowMs);
            quotas.setReservedShare(reservedShare, isNewPrimary, nowMs);
            tickAsPrimary(nowMs);
        }
    }

    private void tickAsPrimary(long nowMs) {
        if (replica.isRecentlyConfirmed()) {
            expireInstances(nowMs);
            assignOrdinals(nowMs);
        }
        pollRequests.tick(nowMs);
        operatorRequests.tick(nowMs);
    }

    private void expireInstances(long nowMs) {
        long timeoutMs = MAX_MISSED_HEARTBEATS * heartbeatIntervalMs + heartbeatIntervalMs / 2;
        if (!isInstanceListAuthoritative(nowMs)) {
            return;
        }
        boolean isAnyLost = instances.expire(nowMs, timeoutMs);
        long maxHeartbeatGapMs = (long) (MAX_HEARTBEAT_GAP_INTERVALS * heartbeatIntervalMs);
        boolean isAnyAssumedCold =
                instances.assumeColdWithoutHeartbeat(maxHeartbeatGapMs, assumedWarmupMs(), nowMs);
        if (isAnyLost || isAnyAssumedCold) {
            pollRequests.sendUpdates();
        }
    }

    private long assumedWarmupMs() {
        return ASSUMED_WARMUP_INTERVALS * heartbeatIntervalMs;
    }

    /**
     * Assumes that the ready upstreams of a zone are cold until their next heartbeat. Called when
     * the drain of the zone is cancelled, since they may have become cold without a heartbeat that
     * said so.
     */
    private void assumeCold(String zone) {
        List<InstanceRecord> assumed =
                instances.assumeCold(zone, assumedWarmupMs(), scheduler.now());
        if (assumed.isEmpty()) {
            return;
        }
        LOG.info("assuming that {} upstreams in zone {} are cold", assumed.size(), zone);
        assumed.forEach(replicator::replicate);
        pollRequests.sendUpdates();
        saveScheduler.schedule();
    }

    private void assignOrdinals(long nowMs) {
        List<InstanceRecord> assigned = instances.assignOrdinals(nowMs);
        if (assigned.isEmpty()) {
            return;
        }
        for (InstanceRecord record : assigned) {
            LOG.info(
                    "upstream {} in zone {} has been assigned ordinal {}",
                    record.id,
                    record.zone,
                    record.ordinal);
            replicator.replicate(record);
        }
        pollRequests.sendUpdates();
        saveScheduler.schedule();
    }
}
