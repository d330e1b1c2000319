package myrtleladder.controlplane;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import myrtleladder.configuration.JsonCodec;
import myrtleladder.http.ServerExchange;
import myrtleladder.replication.Replica;
import myrtleladder.tally.Tallies;
import myrtleladder.tally.TallyFigures;

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

    /** Null if this node serves no tallies. */
    private Tallies tallies;

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

    /** Sets the tallies whose figures are shown. */
    void serveTallies(Tallies served) {
        tallies = served;
    }

    /** Accepts a request. */
    void handle(ServerExchange exchange) {
        Map<String, Object> status =
                new HashMap<>(
                        Map.of(
                                "state", replica.state().name(),
                                "epoch", replica.epoch(),
                                "generation", configuration.generation(),
                                "upstreams", instances.all().size(),
                                "balancers", balancers.addresses().size(),
                                "view", String.valueOf(replica.view())));
        if (tallies != null) {
            status.put("tallies", toJson(tallies.figures()));
        }
        HttpResponses.json(exchange, HttpResponses.OK, JsonCodec.serialize(status));
    }

    private static Map<String, Object> toJson(TallyFigures figures) {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("caught_up", figures.isCaughtUp());
        json.put("tallies", figures.tallies());
        json.put("additions", figures.additions());
        json.put("unsynced", figures.unsynced());
        json.put("failed_appends", figures.failedAppends());
        json.put("waiting", figures.waiting());
        json.put("acknowledged", figures.acknowledged());
        json.put("uncertain", figures.uncertain());
        json.put("refused", figures.refused());
        json.put("reachability_changes", figures.reachabilityChanges());
        Map<String, Object> peers = new LinkedHashMap<>();
        figures.peers().forEach((address, peer) -> peers.put(address, toJson(peer)));
        json.put("peers", peers);
        return json;
    }

    private static Map<String, Object> toJson(TallyFigures.Peer peer) {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("reachability", peer.reachability());
        json.put("zone", peer.zone());
        json.put("additions_it_lacks", peer.additionsItLacks());
        json.put("additions_lacked_here", peer.additionsLackedHere());
        return json;
    }
}
