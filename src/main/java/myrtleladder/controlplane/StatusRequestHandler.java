package myrtleladder.controlplane;

import java.util.Map;
import myrtleladder.configuration.Json;
import myrtleladder.http.ServerExchange;
import myrtleladder.replication.Replica;

/**
 * Handles {@code GET /status}: what this node, primary or not, knows of itself and the fleet.
 *
 * <p>Confined to the event loop.
 */
final class StatusRequestHandler {
    private final CommittedConfiguration configuration;
    private final InstanceRegistry instances;
    private final BalancerRegistry balancers;
    private Replica replica;

    StatusRequestHandler(
            CommittedConfiguration configuration,
            InstanceRegistry instances,
            BalancerRegistry balancers) {
        this.configuration = configuration;
        this.instances = instances;
        this.balancers = balancers;
    }

    /** Sets the replica whose state is shown; has to precede all else. */
    void attach(Replica attached) {
        replica = attached;
    }

    /** Accepts a request. */
    void handle(ServerExchange exchange) {
        Map<String, Object> status =
                Map.of(
                        "state", replica.state().name(),
                        "epoch", replica.epoch(),
                        "generation", configuration.generation(),
                        "upstreams", instances.all().size(),
                        "balancers", balancers.addresses().size(),
                        "view", String.valueOf(replica.view()));
        HttpResponses.json(exchange, HttpResponses.OK, Json.write(status));
    }
}
