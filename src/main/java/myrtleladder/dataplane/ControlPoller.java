package myrtleladder.dataplane;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import myrtleladder.configuration.Compression;
import myrtleladder.configuration.Configuration;
import myrtleladder.configuration.JsonCodec;
import myrtleladder.heartbeat.HeartbeatAgent;
import myrtleladder.protocol.DrainedZones;
import myrtleladder.protocol.LoadReport;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.PollRequest;
import myrtleladder.protocol.PollResponse;
import myrtleladder.protocol.QuotaRequest;
import myrtleladder.protocol.QuotaResponse;
import myrtleladder.replication.PeerTransport;
import myrtleladder.scheduler.Scheduler;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Receives the configuration and the upstreams from the control plane by long polls. Each poll
 * reports the versions that this balancer has; the control plane responds once it has newer ones,
 * or after its hold time.
 *
 * <p>Invariants: at most one poll is in flight, apart from the one that announces the shutdown.
 * Epoch and generation never decrease: responses of lower epochs and older generations are ignored.
 * Confined to the event loop; {@link Main} starts and ends it.
 */
final class ControlPoller {
    private static final Logger LOG = LogManager.getLogger(ControlPoller.class);

    /**
     * Timeout of a poll: the longest time for which the control plane holds it, and a round trip.
     */
    private static final long POLL_TIMEOUT_MS = 750;

    /** Backoff before the next poll after a failed one. */
    private static final long RETRY_BACKOFF_MS = 50;

    /**
     * Backoff before the next poll after a response that could not be applied, since the control
     * plane sends it again at once.
     */
    private static final long FAILED_RESPONSE_BACKOFF_MS = 500;

    /** Time for which an unresponsive control node is not polled if there are others. */
    private static final long AVOID_UNRESPONSIVE_MS = 1_500;

    /** A poll that fails after a longer time has timed out; one that fails earlier was refused. */
    private static final long UNRESPONSIVE_AFTER_MS = 400;

    /**
     * Time after which an unreachable primary, polled through a relay, is polled directly again.
     */
    private static final long RELAY_DURATION_MS = 5_000;

    /** Number of consecutive failures after which the seeds are reloaded. */
    private static final int FAILURES_BEFORE_SEED_RELOAD = 6;

    private final Scheduler scheduler;
    private final PeerTransport peers;
    private final DataPlane dataPlane;
    private final String balancerName;
    private final String address;
    private final HeartbeatAgent heartbeatAgent;
    private final Supplier<List<String>> seedSource;
    private final Map<String, UnresponsiveNode> unresponsiveNodes = new HashMap<>();
    private List<String> seeds;
    private List<String> controlNodes = List.of();

    /** Address of the control node to poll, empty until the next one is selected. */
    private String targetAddress = "";

    /** Whether the target relays requests to the primary, which this balancer can't reach. */
    private boolean isRelayed;

    private long relayedSinceMs;
    private int nextTargetIndex;
    private int consecutiveFailures;
    private long polledAtMs;
    private long epoch;

    /** Highest epoch that any control node reported. */
    private long highestReportedEpoch;

    private long generation;
    private long instanceRevision;

    /** Whether an upstream list from the primary of the current epoch was authoritative. */
    private boolean hasAuthoritativeList;

    private int balancerCount;
    private long balancerListRevision;
    private boolean isLeaving;

    /**
     * State of an unresponsive control node.
     *
     * @param avoidUntilMs when it may be polled again
     * @param knownEpoch highest epoch that was known when it timed out
     */
    private record UnresponsiveNode(long avoidUntilMs, long knownEpoch) {}

    /**
     * Creates a poller.
     *
     * @param balancerName name of this balancer
     * @param address address at which this balancer receives heartbeats of other balancers
     * @param seedSource reads the seed addresses of control nodes from the settings
     */
    ControlPoller(
            Scheduler scheduler,
            PeerTransport peers,
            DataPlane dataPlane,
            String balancerName,
            String address,
            HeartbeatAgent heartbeatAgent,
            Supplier<List<String>> seedSource) {
        this.scheduler = scheduler;
        this.peers = peers;
        this.dataPlane = dataPlane;
        this.balancerName = balancerName;
        this.address = address;
        this.heartbeatAgent = heartbeatAgent;
        this.seedSource = seedSource;
        this.seeds = seedSource.get();
        dataPlane.fleetLoads().setBalancerName(balancerName);
    }

    /** Reloads the seed addresses. */
    void reloadSeeds() {
        seeds = seedSource.get();
    }

    /** Starts polling; called once. */
    void start() {
        poll();
    }

    /** Announces to the control plane that this balancer shuts down, and stops polling. */
    void announceLeaving() {
        isLeaving = true;
        poll();
    }

    /**
     * Requests quota from the primary, directly or through the relay.
     *
     * @param callback receives the response; null if no primary is known or the request failed or
     *     timed out
     */
    void requestQuota(QuotaRequest request, long timeoutMs, Consumer<Message> callback) {
        if (epoch == 0 || targetAddress.isEmpty()) {
            callback.accept(null);
            return;
        }
        request.loadReport = dataPlane.fleetLoads().createReport();
        request.relayWanted = isRelayed ? true : null;
        peers.call(
                targetAddress,
                request,
                timeoutMs,
                response -> quotaResponseReceived(request.loadReport, response, callback));
    }

    private void quotaResponseReceived(
            LoadReport report, Message response, Consumer<Message> callback) {
        if (response instanceof QuotaResponse quota && quota.fromPrimary) {
            dataPlane.fleetLoads().applyResponse(report, quota.fleetLoads, scheduler.now());
        }
        callback.accept(response);
    }

    /** Returns whether a configuration has been applied and a primary has sent its upstreams. */
    boolean isReady() {
        return generation > 0 && epoch > 0;
    }

    private void poll() {
        if (targetAddress.isEmpty()) {
            targetAddress = selectNextNode();
        }
        PollRequest request = createRequest();
        polledAtMs = scheduler.now();
        peers.call(
                targetAddress,
                request,
                POLL_TIMEOUT_MS,
                response -> pollCompleted(request.loadReport, response));
    }

    /** Handles the outcome of a poll; if that fails, polls again after the backoff. */
    private void pollCompleted(LoadReport report, Message message) {
        try {
            pollResponseReceived(report, message);
        } catch (RuntimeException | Error e) {
            LOG.error("failed to handle the response of {}", targetAddress, e);
            scheduler.schedule(FAILED_RESPONSE_BACKOFF_MS, this::poll);
        }
    }

    private PollRequest createRequest() {
        PollRequest request = new PollRequest();
        request.balancer = balancerName;
        request.leaving = isLeaving;
        request.epoch = epoch;
        request.generation = generation;
        request.instanceRevision = instanceRevision;
        request.hasAuthoritativeList = hasAuthoritativeList;
        request.balancerCount = balancerCount;
        request.address = address;
        request.liveBalancers = heartbeatAgent.liveMembers();
        request.balancerListRevision = balancerListRevision;
        request.loadReport = dataPlane.fleetLoads().createReport();
        request.relayWanted = isRelayed ? true : null;
        request.drainedZones = DrainedZones.of(dataPlane.directory().drainedZones());
        request.inFlightAtDraining.addAll(dataPlane.directory().inFlightAtRemovedUpstreams());
        return request;
    }

    /** Returns the next control node, round robin, skipping unresponsive ones unless all are. */
    private String selectNextNode() {
        Set<String> distinct = new LinkedHashSet<>(controlNodes);
        distinct.addAll(seeds);
        List<String> nodes = new ArrayList<>(distinct);
        for (int i = 0; i < nodes.size(); i++) {
            String node = nodes.get(Math.floorMod(nextTargetIndex++, nodes.size()));
            if (!isAvoided(node)) {
                return node;
            }
        }
        return nodes.get(Math.floorMod(nextTargetIndex++, nodes.size()));
    }

    private boolean isAvoided(String node) {
        UnresponsiveNode unresponsiveNode = unresponsiveNodes.get(node);
        return unresponsiveNode != null && scheduler.now() < unresponsiveNode.avoidUntilMs();
    }

    private void pollResponseReceived(LoadReport report, Message message) {
        if (isLeaving) {
            return;
        }
        if (!(message instanceof PollResponse response)) {
            pollFailed();
            return;
        }
        if (!response.controlNodeAddresses.isEmpty()) {
            controlNodes = response.controlNodeAddresses;
        }
        if (!response.fromPrimary || response.epoch < epoch) {
            redirectTo(response.primaryAddress, response.epoch);
            return;
        }
        consecutiveFailures = 0;
        if (isRelayed && scheduler.now() - relayedSinceMs >= RELAY_DURATION_MS) {
            isRelayed = false;
            targetAddress = response.primaryAddress;
        }
        applyResponse(response);
        dataPlane.fleetLoads().applyResponse(report, response.fleetLoads, scheduler.now());
        poll();
    }

    private void pollFailed() {
        boolean isUnresponsive = scheduler.now() - polledAtMs > UNRESPONSIVE_AFTER_MS;
        if (isUnresponsive) { // a node that refuses the connection may just be starting
            long avoidUntilMs = scheduler.now() + AVOID_UNRESPONSIVE_MS;
            unresponsiveNodes.put(
                    targetAddress,
                    new UnresponsiveNode(avoidUntilMs, Math.max(epoch, highestReportedEpoch)));
        }
        consecutiveFailures++;
        if (consecutiveFailures % FAILURES_BEFORE_SEED_RELOAD == 0) {
            reloadSeeds();
        }
        targetAddress = "";
        isRelayed = false;
        scheduler.schedule(RETRY_BACKOFF_MS, this::poll);
    }

    /**
     * Polls the primary that a control node reported. If that primary is unreachable from here, the
     * node that reported it is asked once to relay the poll.
     */
    private void redirectTo(String primary, long reportedEpoch) {
        stopAvoidingNewPrimary(primary, reportedEpoch);
        if (primary.equals(targetAddress)) {
            targetAddress = "";
            isRelayed = false;
        } else if (!isAvoided(primary)) {
            targetAddress = primary;
            isRelayed = false;
        } else if (!isRelayed) {
            isRelayed = true;
            relayedSinceMs = scheduler.now();
        } else {
            targetAddress = "";
            isRelayed = false;
        }
        scheduler.schedule(RETRY_BACKOFF_MS, this::poll);
    }

    /**
     * Stops avoiding an unresponsive node that is reported as primary of a later epoch than was
     * known when it timed out: it has been elected since and so is running again.
     */
    private void stopAvoidingNewPrimary(String primary, long reportedEpoch) {
        highestReportedEpoch = Math.max(highestReportedEpoch, reportedEpoch);
        UnresponsiveNode unresponsiveNode = unresponsiveNodes.get(primary);
        if (unresponsiveNode != null && reportedEpoch > unresponsiveNode.knownEpoch()) {
            unresponsiveNodes.remove(primary);
        }
    }

    private void applyResponse(PollResponse response) {
        if (response.epoch > epoch) {
            LOG.info(
                    "epoch {}: primary is {}; the epoch before was {}",
                    response.epoch,
                    response.primaryAddress,
                    epoch);
        }
        hasAuthoritativeList =
                response.authoritative || (hasAuthoritativeList && response.epoch == epoch);
        epoch = response.epoch;
        dataPlane.recordPollResponse(epoch);
        instanceRevision = response.instanceRevision;
        if (response.drainedZones != null) {
            dataPlane.directory().applyDrainedZones(response.drainedZones.names);
        }
        dataPlane
                .directory()
                .applyRecords(
                        response.instances, response.fullInstanceList && response.authoritative);
        balancerCount = response.balancerCount;
        balancerListRevision = response.balancerListRevision;
        if (!response.balancerList.isEmpty()) {
            heartbeatAgent.setMembers(response.balancerList);
        }
        if (response.authoritative && !response.balancerList.isEmpty()) {
            dataPlane.setBalancerList(response.balancerList);
        }
        dataPlane.setBalancerCount(response.balancerCount, response.authoritative);
        // Last, so that everything else is applied if this balancer cannot read the document.
        if (response.generation > generation && response.document.length > 0) {
            applyConfiguration(response);
        }
    }

    private void applyConfiguration(PollResponse response) {
        byte[] document = Compression.inflate(response.document);
        dataPlane.applyConfiguration(Configuration.parse(JsonCodec.parseObject(document)));
        generation = response.generation;
        LOG.info("applied configuration generation {}", generation);
    }
}
