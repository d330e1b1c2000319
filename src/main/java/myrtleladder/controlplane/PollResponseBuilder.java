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
 * Builds responses to polls. A response contains only what is newer than the versions that the
 * balancer has. Configuration, upstreams, balancers and cached prompts are versioned separately;
 * the versions of upstreams, balancers and prompts are only comparable within an epoch.
 *
 * <p>Only reads the state, which other classes own. Confined to the event loop.
 */
final class PollResponseBuilder {
    private static final byte[] NO_DOCUMENT = {};

    private final Scheduler scheduler;
    private final InstanceRegistry instances;
    private final BalancerRegistry balancers;
    private final FleetLoadExchange fleetLoads;
    private final CommittedConfiguration committed;
    private final BooleanSupplier isInstanceListAuthoritative;
    private Replica replica;

    /**
     * Creates a builder.
     *
     * @param isInstanceListAuthoritative whether every live upstream has had time to send a
     *     heartbeat to this primary
     */
    PollResponseBuilder(
            Scheduler scheduler,
            InstanceRegistry instances,
            BalancerRegistry balancers,
            FleetLoadExchange fleetLoads,
            CommittedConfiguration committed,
            BooleanSupplier isInstanceListAuthoritative) {
        this.scheduler = scheduler;
        this.instances = instances;
        this.balancers = balancers;
        this.fleetLoads = fleetLoads;
        this.committed = committed;
        this.isInstanceListAuthoritative = isInstanceListAuthoritative;
    }

    /** Sets the replica that knows the view. Must be called before any other method. */
    void attach(Replica attached) {
        replica = attached;
    }

    /** Returns whether this node has an update for the balancer. */
    boolean hasUpdate(PollRequest request) {
        return request.epoch != replica.view().epoch
                || request.generation < committed.generation()
                || hasOtherDrainedZones(request)
                || request.instanceRevision < instances.revision()
                || (!request.hasAuthoritativeList && isInstanceListAuthoritative.getAsBoolean());
    }

    /**
     * Returns whether the balancer has outdated drained zones. A balancer that does not support
     * drained zones sends none and gets no update for them, since each poll would be answered at
     * once.
     */
    private boolean hasOtherDrainedZones(PollRequest request) {
        return request.drainedZones != null
                && !request.drainedZones.names.equals(committed.drainedZones());
    }

    /**
     * Returns the response to a poll. If this node is not recently confirmed as primary, the
     * response is {@link #notPrimary}.
     */
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
        response.authoritative = isInstanceListAuthoritative.getAsBoolean();
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

    /**
     * Returns the response of a node that is not primary, with the address of the primary if it is
     * known.
     */
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
