package myrtleladder.controlplane;

import java.util.function.BooleanSupplier;
import myrtleladder.protocol.QuotaRequest;
import myrtleladder.protocol.QuotaResponse;
import myrtleladder.replication.Replica;
import myrtleladder.scheduler.Scheduler;

/**
 * Handles the quota requests of balancers on the primary, including the load reports that they
 * contain.
 *
 * <p>Confined to the event loop.
 */
final class QuotaRequestHandler {
    private final Scheduler scheduler;
    private final QuotaAllocator quotas;
    private final FleetLoadExchange fleetLoads;
    private final BooleanSupplier isConfirmedPrimary;
    private Replica replica;

    /**
     * Creates a handler.
     *
     * @param isConfirmedPrimary whether a majority has recently confirmed that this node is primary
     */
    QuotaRequestHandler(
            Scheduler scheduler,
            QuotaAllocator quotas,
            FleetLoadExchange fleetLoads,
            BooleanSupplier isConfirmedPrimary) {
        this.scheduler = scheduler;
        this.quotas = quotas;
        this.fleetLoads = fleetLoads;
        this.isConfirmedPrimary = isConfirmedPrimary;
    }

    /** Sets the replica that knows the epoch. Must be called before any other method. */
    void attach(Replica attached) {
        replica = attached;
    }

    /**
     * Returns the response to a request. It is marked as invalid unless this node is the confirmed
     * primary.
     */
    QuotaResponse handle(QuotaRequest request) {
        if (!isConfirmedPrimary.getAsBoolean()) {
            return QuotaResponse.of(false, 0, 0);
        }
        long nowMs = scheduler.now();
        long epoch = replica.view().epoch;
        quotas.consumeReported(request, epoch);
        QuotaResponse response = quotas.grant(request, nowMs);
        response.epoch = epoch;
        fleetLoads.record(request.loadReport, nowMs);
        response.fleetLoads = fleetLoads.responseTo(request.loadReport, epoch, nowMs);
        return response;
    }
}
