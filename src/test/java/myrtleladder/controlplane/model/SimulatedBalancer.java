package myrtleladder.controlplane.model;

import java.util.List;
import myrtleladder.configuration.Compression;
import myrtleladder.protocol.CachedPrompt;
import myrtleladder.protocol.DrainedZones;
import myrtleladder.protocol.FleetLoads;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.InstanceRecord.Stage;
import myrtleladder.protocol.LoadReport;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.MessageCodec;
import myrtleladder.protocol.PollRequest;
import myrtleladder.protocol.PollResponse;
import myrtleladder.protocol.UpstreamLoad;

/**
 * A balancer that polls the control plane and checks the responses: the configuration, the drained
 * zones and the ready upstreams against the history, and the loads of the other balancers against
 * their maximum.
 */
final class SimulatedBalancer {
    private static final long TIMEOUT_MS = 750;
    private static final long RETRY_MS = 50;
    private static final int UPSTREAM = 7;
    private static final int REQUESTS_IN_FLIGHT = 5;

    private final SimulatedCluster cluster;
    private final String name;

    /** The address of the polled node; empty if the next poll goes to a node chosen at random. */
    private String target = "";

    private long epoch;
    private long generation;
    private long revision;
    private boolean hasAuthoritativeList;
    private List<String> drainedZones = List.of();
    private long newestGenerationWhenSent;
    private long reportCount;
    private long fleetEpoch;
    private long promptRevision;

    SimulatedBalancer(SimulatedCluster cluster, String name) {
        this.cluster = cluster;
        this.name = name;
    }

    void poll() {
        List<SimulatedNode> nodes = cluster.nodes();
        if (target.isEmpty()) {
            target = nodes.get(cluster.random.nextInt(nodes.size())).address;
        }
        PollRequest poll = new PollRequest();
        poll.balancer = name;
        poll.address = name + ":1";
        poll.epoch = epoch;
        poll.generation = generation;
        poll.instanceRevision = revision;
        poll.hasAuthoritativeList = hasAuthoritativeList;
        poll.loadReport = loadReport();
        poll.drainedZones = DrainedZones.of(drainedZones);
        long sentAtMs = cluster.clock.now();
        newestGenerationWhenSent = cluster.history.newestAcknowledgedGeneration();
        FirstResponse first = new FirstResponse(response -> handle(sentAtMs, response));
        cluster.clock.schedule(TIMEOUT_MS, () -> first.accept(null));
        byte[] bytes = MessageCodec.encode(poll);
        String to = target;
        cluster.network.carry(name, to, () -> cluster.deliver(to, bytes, name, first::accept));
    }

    private void handle(long sentAtMs, Message message) {
        if (!(message instanceof PollResponse response)) {
            target = "";
        } else if (!response.fromPrimary || response.epoch < epoch) {
            target = response.primaryAddress.equals(target) ? "" : response.primaryAddress;
        } else {
            apply(response, sentAtMs);
            poll();
            return;
        }
        cluster.clock.schedule(RETRY_MS, this::poll);
    }

    /**
     * Each balancer reports the same load, so that {@link #checkLoads} knows the largest possible
     * sum; a sum of all reports that counts one of them twice exceeds it.
     */
    private LoadReport loadReport() {
        LoadReport report = new LoadReport();
        report.balancer = name;
        report.processId = 1;
        report.sequence = ++reportCount;
        report.epoch = fleetEpoch;
        report.promptRevision = promptRevision;
        report.loads.add(UpstreamLoad.of(UPSTREAM, REQUESTS_IN_FLIGHT, 0));
        report.cachedPrompts.add(CachedPrompt.of(name.hashCode(), UPSTREAM));
        return report;
    }

    private void checkLoads(FleetLoads loads) {
        fleetEpoch = loads.epoch;
        promptRevision = loads.promptRevision;
        int maxRequests = REQUESTS_IN_FLIGHT * (cluster.balancers.size() - 1);
        for (UpstreamLoad load : loads.loads) {
            if (load.upstreamKey != UPSTREAM || load.inFlightRequests > maxRequests) {
                cluster.history.addViolation(
                        name
                                + " got "
                                + load.inFlightRequests
                                + " requests, at most "
                                + maxRequests);
            }
        }
        if (loads.cachedPrompts.size() > cluster.balancers.size()) {
            cluster.history.addViolation(name + " got " + loads.cachedPrompts.size() + " prompts");
        }
    }

    private void apply(PollResponse response, long sentAtMs) {
        if (response.fleetLoads != null) {
            checkLoads(response.fleetLoads);
        }
        hasAuthoritativeList =
                response.authoritative || (hasAuthoritativeList && response.epoch == epoch);
        epoch = response.epoch;
        revision = response.instanceRevision;
        if (response.generation > generation && response.document.length > 0) {
            byte[] document = Compression.inflate(response.document);
            cluster.history.checkObservedChange(
                    OperatorChange.nameIn(document), response.generation, name);
            generation = response.generation;
        }
        drainedZones = response.drainedZones.names;
        cluster.history.checkDrainedZones(
                drainedZones, sentAtMs, SimulatedCluster.MAX_POLL_STALENESS_MS, name);
        if (sentAtMs
                > cluster.history.lastAcknowledgedAtMs() + SimulatedCluster.MAX_POLL_STALENESS_MS) {
            cluster.history.checkNotOlder(generation, newestGenerationWhenSent, "poll of " + name);
        }
        for (InstanceRecord record : response.instances) {
            if (record.stage == Stage.READY) {
                cluster.history.checkObservedReady(
                        record.id, sentAtMs, SimulatedCluster.MAX_POLL_STALENESS_MS, name);
            }
        }
    }
}
