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
import myrtleladder.configuration.Json;
import myrtleladder.heartbeat.HeartbeatAgent;
import myrtleladder.protocol.DrainedZones;
import myrtleladder.protocol.LoadReport;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.PollRequest;
import myrtleladder.protocol.PollResponse;
import myrtleladder.protocol.QuotaRequest;
import myrtleladder.protocol.QuotaResponse;
import myrtleladder.replication.Peers;
import myrtleladder.scheduler.Scheduler;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Long polls to the control plane: each carries the versions that this balancer has and is answered
 * once there are newer ones.
 *
 * <p>Invariants: one poll is in flight at most, apart from the one that announces the end; epoch
 * and generation never decrease, so responses of lower epochs and older generations are ignored.
 * Confined to the event loop; {@link Main} starts and ends it.
 */
final class ControlPoller {
    private static final Logger LOG = LogManager.getLogger(ControlPoller.class);

    /** Timeout of a poll: the longest hold of a long poll and a round trip. */
    private static final long POLL_TIMEOUT_MS = 750;

    /** Backoff before the next poll after a failed one. */
    private static final long RETRY_BACKOFF_MS = 50;

    /** Time for which an unresponsive control node is avoided. */
    private static final long AVOIDANCE_MS = 1_500;

    /** A failure after a longer time is a timeout, one before it a refusal to connect. */
    private static final long UNRESPONSIVE_AFTER_MS = 400;

    /** Time after which a primary is polled directly again that was out of reach. */
    private static final long RELAY_MS = 5_000;

    /** Failures after which the seeds are read again. */
    private static final int FAILURES_BEFORE_SEED_RELOAD = 6;

    private final Scheduler scheduler;
    private final Peers peers;
    private final DataPlane dataPlane;
    private final String balancer;
    private final String address;
    private final HeartbeatAgent heartbeatAgent;
    private final Supplier<List<String>> seedSource;
    private final Map<String, Avoidance> avoidances = new HashMap<>();
    private List<String> seeds;
    private List<String> members = List.of();

    /** Address that is polled, empty until the next one is chosen. */
    private String target = "";

    /** Whether the target passes requests on, since the primary is out of reach. */
    private boolean isRelayed;

    private long relayedSinceMs;
    private int nextTargetIndex;
    private int consecutiveFailures;
    private long polledAtMs;
    private long epoch;

    /** Highest epoch that any control node named. */
    private long highestNamedEpoch;

    private long generation;
    private long instanceRevision;

    /** Whether the list of the epoch's primary was authoritative. */
    private boolean hasAuthoritativeList;

    private int balancers;
    private long memberRevision;
    private boolean isLeaving;

    /** An unresponsive control node, and the highest epoch that was known when it timed out. */
    private record Avoidance(long untilMs, long knownEpoch) {}

    /**
     * Creates a poller.
     *
     * @param address this balancer's own address for other balancers' heartbeats
     * @param seedSource reads the addresses of control nodes from the settings
     */
    ControlPoller(
            Scheduler scheduler,
            Peers peers,
            DataPlane dataPlane,
            String balancer,
            String address,
            HeartbeatAgent heartbeatAgent,
            Supplier<List<String>> seedSource) {
        this.scheduler = scheduler;
        this.peers = peers;
        this.dataPlane = dataPlane;
        this.balancer = balancer;
        this.address = address;
        this.heartbeatAgent = heartbeatAgent;
        this.seedSource = seedSource;
        this.seeds = seedSource.get();
        dataPlane.fleetLoads().setBalancerName(balancer);
    }

    /** Reads the seeds again. */
    void reloadSeeds() {
        seeds = seedSource.get();
    }

    /** Starts to poll; called once. */
    void start() {
        poll();
    }

    /** Announces to the control plane that this balancer ends; no poll follows. */
    void announceLeaving() {
        isLeaving = true;
        poll();
    }

    /**
     * Requests quota from the primary that answered last.
     *
     * @param callback receives the response, null without a primary or if none came in time
     */
    void requestQuota(QuotaRequest request, long timeoutMs, Consumer<Message> callback) {
        if (epoch == 0 || target.isEmpty()) {
            callback.accept(null);
            return;
        }
        request.loadReport = dataPlane.fleetLoads().createReport();
        request.relayWanted = isRelayed ? true : null;
        peers.call(
                target,
                request,
                timeoutMs,
                response -> quotaResponseReceived(request.loadReport, response, callback));
    }

    private void quotaResponseReceived(
            LoadReport report, Message response, Consumer<Message> callback) {
        if (response instanceof QuotaResponse grant && grant.fromPrimary) {
            dataPlane.fleetLoads().applyResponse(report, grant.fleetLoads, scheduler.now());
        }
        callback.accept(response);
    }

    /** Whether a configuration is in force and upstreams were received. */
    boolean isReady() {
        return generation > 0 && epoch > 0;
    }

    private void poll() {
        if (target.isEmpty()) {
            target = nextTarget();
        }
        PollRequest request = createRequest();
        polledAtMs = scheduler.now();
        peers.call(
                target,
                request,
                POLL_TIMEOUT_MS,
                response -> pollResponseReceived(request.loadReport, response));
    }

    private PollRequest createRequest() {
        PollRequest request = new PollRequest();
        request.balancer = balancer;
        request.leaving = isLeaving;
        request.epoch = epoch;
        request.generation = generation;
        request.instanceRevision = instanceRevision;
        request.hasAuthoritativeList = hasAuthoritativeList;
        request.balancerCount = balancers;
        request.address = address;
        request.liveBalancers = heartbeatAgent.liveMembers();
        request.balancerListRevision = memberRevision;
        request.loadReport = dataPlane.fleetLoads().createReport();
        request.relayWanted = isRelayed ? true : null;
        request.drainedZones = DrainedZones.of(dataPlane.directory().drainedZones());
        request.inFlightAtDraining.addAll(dataPlane.directory().inFlightAtRemovedUpstreams());
        return request;
    }

    /** The next control node in turn that is not avoided, or the next at all if all are. */
    private String nextTarget() {
        Set<String> distinct = new LinkedHashSet<>(members);
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
        Avoidance avoidance = avoidances.get(node);
        return avoidance != null && scheduler.now() < avoidance.untilMs();
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
            members = response.controlNodeAddresses;
        }
        if (!response.fromPrimary || response.epoch < epoch) {
            redirectTo(response.primaryAddress, response.epoch);
            return;
        }
        consecutiveFailures = 0;
        if (isRelayed && scheduler.now() - relayedSinceMs >= RELAY_MS) {
            isRelayed = false;
            target = response.primaryAddress;
        }
        applyResponse(response);
        dataPlane.fleetLoads().applyResponse(report, response.fleetLoads, scheduler.now());
        poll();
    }

    private void pollFailed() {
        boolean isUnresponsive = scheduler.now() - polledAtMs > UNRESPONSIVE_AFTER_MS;
        if (isUnresponsive) { // a node that refuses may just be starting
            long untilMs = scheduler.now() + AVOIDANCE_MS;
            avoidances.put(target, new Avoidance(untilMs, Math.max(epoch, highestNamedEpoch)));
        }
        consecutiveFailures++;
        if (consecutiveFailures % FAILURES_BEFORE_SEED_RELOAD == 0) {
            reloadSeeds();
        }
        target = "";
        isRelayed = false;
        scheduler.schedule(RETRY_BACKOFF_MS, this::poll);
    }

    /**
     * Polls the primary that a node named next. A node that hears a primary which is out of reach
     * from here is asked once to pass the poll on.
     */
    private void redirectTo(String primary, long namedEpoch) {
        endAvoidanceOfLaterPrimary(primary, namedEpoch);
        if (primary.equals(target)) {
            target = "";
            isRelayed = false;
        } else if (!isAvoided(primary)) {
            target = primary;
            isRelayed = false;
        } else if (!isRelayed) {
            isRelayed = true;
            relayedSinceMs = scheduler.now();
        } else {
            target = "";
            isRelayed = false;
        }
        scheduler.schedule(RETRY_BACKOFF_MS, this::poll);
    }

    /** A primary of a later epoch than any known when it timed out was elected since: it is up. */
    private void endAvoidanceOfLaterPrimary(String primary, long namedEpoch) {
        highestNamedEpoch = Math.max(highestNamedEpoch, namedEpoch);
        Avoidance avoidance = avoidances.get(primary);
        if (avoidance != null && namedEpoch > avoidance.knownEpoch()) {
            avoidances.remove(primary);
        }
    }

    private void applyResponse(PollResponse response) {
        if (response.epoch > epoch) {
            LOG.info("epoch {} of {} follows {}", response.epoch, response.primaryAddress, epoch);
        }
        hasAuthoritativeList =
                response.authoritative || (hasAuthoritativeList && response.epoch == epoch);
        epoch = response.epoch;
        dataPlane.pollAnswered(epoch);
        instanceRevision = response.instanceRevision;
        if (response.drainedZones != null) {
            dataPlane.directory().applyDrainedZones(response.drainedZones.names);
        }
        dataPlane
                .directory()
                .applyRecords(
                        response.instances, response.fullInstanceList && response.authoritative);
        if (response.generation > generation && response.document.length > 0) {
            applyConfiguration(response);
        }
        balancers = response.balancerCount;
        memberRevision = response.balancerListRevision;
        if (!response.balancerList.isEmpty()) {
            heartbeatAgent.setMembers(response.balancerList);
        }
        if (response.authoritative && !response.balancerList.isEmpty()) {
            dataPlane.setBalancerList(response.balancerList);
        }
        dataPlane.setBalancers(response.balancerCount);
    }

    private void applyConfiguration(PollResponse response) {
        byte[] document = Compression.inflate(response.document);
        dataPlane.applyConfiguration(Configuration.read(Json.readObject(document)));
        generation = response.generation;
        LOG.info("generation {} is in force", generation);
    }
}
