package myrtleladder.controlplane;

import java.util.Map;
import java.util.function.BooleanSupplier;
import myrtleladder.configuration.JsonCodec;
import myrtleladder.http.ServerExchange;
import myrtleladder.replication.Replica;

/**
 * Handles {@code GET /upgrade}: the progress of an upgrade of the upstreams. Only the primary
 * answers, since balancers report their requests in flight only to it.
 *
 * <p>Confined to the event loop.
 */
final class UpgradeRequestHandler {
    private final InstanceRegistry instances;
    private final BalancerRegistry balancers;
    private final Map<String, String> regionByZone;
    private final BooleanSupplier isConfirmedPrimary;
    private Replica replica;

    /**
     * Creates a handler.
     *
     * @param isConfirmedPrimary whether a majority has recently confirmed that this node is primary
     */
    UpgradeRequestHandler(
            InstanceRegistry instances,
            BalancerRegistry balancers,
            Map<String, String> regionByZone,
            BooleanSupplier isConfirmedPrimary) {
        this.instances = instances;
        this.balancers = balancers;
        this.regionByZone = regionByZone;
        this.isConfirmedPrimary = isConfirmedPrimary;
    }

    /** Sets the replica that knows the primary. Must be called before any other method. */
    void attach(Replica attached) {
        replica = attached;
    }

    /** Handles a request. */
    void handle(ServerExchange exchange) {
        if (!isConfirmedPrimary.getAsBoolean()) {
            HttpResponses.redirectToPrimary(exchange, replica);
            return;
        }
        UpgradeStatus status =
                UpgradeStatus.of(
                        instances.reportedRecords(), balancers.inFlightByInstance(), regionByZone);
        HttpResponses.sendJson(exchange, HttpResponses.OK, JsonCodec.serialize(status.toJson()));
    }
}
