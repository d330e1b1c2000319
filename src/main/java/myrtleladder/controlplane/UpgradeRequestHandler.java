package myrtleladder.controlplane;

import java.util.Map;
import java.util.function.BooleanSupplier;
import myrtleladder.configuration.JsonCodec;
import myrtleladder.http.ServerExchange;
import myrtleladder.replication.Replica;

/**
 * Handles {@code GET /upgrade}: how far an upgrade has come. Only the primary hears the balancers,
 * so it alone knows what is in flight.
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
     * @param isConfirmedPrimary whether a majority confirmed of late that this node is primary
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

    /** Sets the replica that knows who is primary; has to precede all else. */
    void attach(Replica attached) {
        replica = attached;
    }

    /** Accepts a request. */
    void handle(ServerExchange exchange) {
        if (!isConfirmedPrimary.getAsBoolean()) {
            HttpResponses.redirectToPrimary(exchange, replica);
            return;
        }
        UpgradeStatus status =
                UpgradeStatus.of(instances.all(), balancers.inFlightRequests(), regionByZone);
        HttpResponses.json(exchange, HttpResponses.OK, JsonCodec.serialize(status.toJson()));
    }
}
