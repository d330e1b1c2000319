package myrtleladder.controlplane;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import myrtleladder.protocol.DrainedZones;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.PollRequest;
import myrtleladder.protocol.PollResponse;
import myrtleladder.replication.Replica;
import myrtleladder.scheduler.Scheduler;

/**
 * Builds responses to polls: each holds what is newer than what the balancer has. Configuration,
 * upstreams, balancers and prompts have a version of their own each; those of upstreams, balancers
 * and prompts count within an epoch.
 *
 * <p>Reads the state that others own. Confined to the event loop.
 */
final class PollResponseBuilder {
    private static final byte[] NO_DOCUMENT = {};

    private final Scheduler scheduler;
    private final InstanceRegistry instances;
    private final BalancerRegistry balancers;
    private final FleetLoadExchange fleetLoads;
    private final CommittedConfiguration committed;
    private final BooleanSupplier hasHeardAllInstances;
    private Replica replica;

    /**
     * Creates a builder.
     *
     * @param hasHeardAllInstances whether each live upstream has had the time to send this primary
     *     a heartbeat
     */
    PollResponseBuilder(
            Scheduler scheduler,
            InstanceRegistry instances,
            BalancerRegistry balancers,
            FleetLoadExchange fleetLoads,
            CommittedConfiguration committed,
            BooleanSupplier hasHeardAllInstances) {
        this.scheduler = scheduler;
        this.instances = instances;
        this.balancers = balancers;
        this.fleetLoads = fleetLoads;
        this.committed = committed;
        this.hasHeardAllInstances = hasHeardAllInstances;
    }

    /** Sets the replica that knows the view; has to precede all else. */
    void attach(Replica attached) {
        replica = attached;
    }

    /** Whether this node has something that the balancer does not have yet. */
    boolean hasUpdate(PollRequest request) {
        return request.epoch != replica.view().epoch
                || request.generation < committed.generation()
                || hasOtherDrainedZones(request)
                || request.instanceRevision < instances.revision()
                || (!request.hasAuthoritativeList && hasHeardAllInstances.getAsBoolean());
    }

    /** A balancer that does not heed drained zones is not told of them time and again. */
    private boolean hasOtherDrainedZones(PollRequest request) {
        return request.drainedZones != null
                && !request.drainedZones.names.equals(committed.drainedZones());
    }

    /** The response to a poll; that of another node than the primary if that is in doubt. */
    PollResponse build(PollRequest request) {
        if (!replica.isRecentlyConfirmed()) {
            return notPrimary();
        }
        PollResponse response = new PollResponse();
        response.fromPrimary = true;
        response.primaryAddress = replica.self().address;
        response.controlNodeAddresses = memberAddresses();
        response.epoch = replica.view().epoch;
        addConfiguration(response, request);
        response.drainedZones = DrainedZones.of(committed.drainedZones());
        addInstances(response, request);
        response.fleetLoads =
                fleetLoads.responseTo(request.loadReport, response.epoch, scheduler.now());
        addBalancers(response, request);
        return response;
    }

    private void addConfiguration(PollResponse response, PollRequest request) {
        boolean isNewer = request.generation < committed.generation();
        response.generation = committed.generation();
        response.document = isNewer ? committed.compressedDocument() : NO_DOCUMENT;
    }

    private void addInstances(PollResponse response, PollRequest request) {
        response.instanceRevision = instances.revision();
        response.authoritative = hasHeardAllInstances.getAsBoolean();
        response.fullInstanceList =
                request.epoch != response.epoch || !request.hasAuthoritativeList;
        response.instances =
                instances.changedSince(
                        response.fullInstanceList ? 0 : request.instanceRevision, scheduler.now());
    }

    private void addBalancers(PollResponse response, PollRequest request) {
        response.balancerCount = balancers.count(!response.authoritative);
        response.balancerListRevision = balancers.revision();
        if (response.fullInstanceList
                || request.balancerListRevision != response.balancerListRevision) {
            response.balancerList = balancers.addresses();
        }
    }

    /** The response of a node that is not the primary: it names the one that it knows, if any. */
    PollResponse notPrimary() {
        PollResponse response = new PollResponse();
        Member primary = replica.primary();
        boolean isOther = primary != null && !primary.equals(replica.self());
        response.primaryAddress = isOther ? primary.address : "";
        response.epoch = replica.view() == null ? 0 : replica.view().epoch;
        response.controlNodeAddresses = memberAddresses();
        return response;
    }

    private List<String> memberAddresses() {
        Set<String> addresses = new LinkedHashSet<>();
        if (replica.view() != null) {
            replica.view().group.forEach(member -> addresses.add(member.address));
        }
        return new ArrayList<>(addresses);
    }
}
