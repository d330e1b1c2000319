package myrtleladder.controlplane;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import myrtleladder.configuration.JsonCodec;
import myrtleladder.http.ServerExchange;
import myrtleladder.replication.Replica;
import myrtleladder.tally.Tallies;
import myrtleladder.tally.TallyMetrics;

/**
 * Handles {@code GET /status}: the state of this node and its view of the fleet. Served by every
 * node, primary or not.
 *
 * <p>Confined to the event loop.
 */
final class StatusRequestHandler {
    private final CommittedConfiguration configuration;
    private final InstanceRegistry instances;
    private final BalancerRegistry balancers;
    private Replica replica;

    /** The tallies, or null if this node serves none. */
    private Tallies tallies;

    StatusRequestHandler(
            CommittedConfiguration configuration,
            InstanceRegistry instances,
            BalancerRegistry balancers) {
        this.configuration = configuration;
        this.instances = instances;
        this.balancers = balancers;
    }

    /** Sets the replica whose state is reported. Must be called before any other method. */
    void attach(Replica attached) {
        replica = attached;
    }

    /** Sets the tallies whose statistics are reported. */
    void setTallies(Tallies served) {
        tallies = served;
    }

    /** Handles a request. */
    void handle(ServerExchange exchange) {
        Map<String, Object> status =
                new HashMap<>(
                        Map.of(
                                "state", replica.state().name(),
                                "epoch", replica.epoch(),
                                "epoch_conflicts", replica.epochConflicts(),
                                "generation", configuration.generation(),
                                "upstreams", instances.reportedRecords().size(),
                                "balancers", balancers.addresses().size(),
                                "view", String.valueOf(replica.view())));
        if (tallies != null) {
            status.put("tallies", toJson(tallies.metrics()));
        }
        HttpResponses.sendJson(exchange, HttpResponses.OK, JsonCodec.serialize(status));
    }

    private static Map<String, Object> toJson(TallyMetrics figures) {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("caught_up", figures.isCaughtUp());
        json.put("tallies", figures.tallies());
        json.put("additions", figures.additions());
        json.put("unsynced", figures.unsynced());
        json.put("failed_appends", figures.failedAppends());
        json.put("waiting", figures.pending());
        json.put("acknowledged", figures.acknowledged());
        json.put("uncertain", figures.uncertain());
        json.put("refused", figures.refused());
        json.put("reachability_changes", figures.reachabilityChanges());
        Map<String, Object> peers = new LinkedHashMap<>();
        figures.peers().forEach((address, peer) -> peers.put(address, toJson(peer)));
        json.put("peers", peers);
        return json;
    }

    private static Map<String, Object> toJson(TallyMetrics.Peer peer) {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("reachability", peer.reachability());
        json.put("zone", peer.zone());
        json.put("additions_it_lacks", peer.additionsMissingAtPeer());
        json.put("additions_lacked_here", peer.additionsMissingHere());
        return json;
    }
}
