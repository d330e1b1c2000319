package myrtleladder.controlplane;

import java.util.List;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import myrtleladder.http.ServerExchange;
import myrtleladder.replication.Replica;
import myrtleladder.replication.StateChange;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Handles {@code /drain/ZONE}: {@code POST} drains a zone, so that balancers send no new requests
 * to its upstreams, and {@code DELETE} cancels the drain. A request is acknowledged once all
 * replicas of the view have stored the drained zones; a request that changes nothing is
 * acknowledged at once. If the outcome is unknown, the response is 503.
 *
 * <p>Confined to the event loop.
 */
final class DrainRequestHandler {
    private static final Logger LOG = LogManager.getLogger(DrainRequestHandler.class);
    private static final Pattern ZONE_NAME = Pattern.compile("[A-Za-z0-9_.-]{1,100}");
    private static final String DRAIN = "POST";
    private static final String CANCEL_DRAIN = "DELETE";

    private final OperatorRequestQueue queue;
    private final CommittedConfiguration committed;
    private final Consumer<String> beforeCancelDrain;
    private Replica replica;

    /**
     * Creates a handler.
     *
     * @param beforeCancelDrain is called with the name of a zone before balancers can learn that
     *     its drain is cancelled; also for a repeated request, since the outcome of the first one
     *     may have been unknown
     */
    DrainRequestHandler(
            OperatorRequestQueue queue,
            CommittedConfiguration committed,
            Consumer<String> beforeCancelDrain) {
        this.queue = queue;
        this.committed = committed;
        this.beforeCancelDrain = beforeCancelDrain;
    }

    /** Sets the replica that stores the drained zones. Must be called before any other method. */
    void attach(Replica attached) {
        replica = attached;
    }

    /** Handles a request to drain a zone or to cancel the drain. */
    void handle(ServerExchange exchange, String zone) {
        String method = exchange.head().method();
        if (!ZONE_NAME.matcher(zone).matches()) {
            HttpResponses.sendError(
                    exchange, HttpResponses.BAD_REQUEST, "the zone's name is not a valid one");
        } else if (method.equals(DRAIN) || method.equals(CANCEL_DRAIN)) {
            queue.add(exchange, () -> process(exchange, zone));
        } else {
            HttpResponses.sendEmpty(exchange, HttpResponses.METHOD_NOT_ALLOWED);
        }
    }

    private Optional<ProposedChange> process(ServerExchange exchange, String zone) {
        SortedSet<String> zones = new TreeSet<>(committed.drainedZones());
        boolean isCancellation = exchange.head().method().equals(CANCEL_DRAIN);
        boolean isChange = isCancellation ? zones.remove(zone) : zones.add(zone);
        Runnable beforeCommit = isCancellation ? () -> beforeCancelDrain.accept(zone) : () -> {};
        beforeCommit.run();
        if (!isChange) {
            HttpResponses.sendAcknowledgement(exchange);
            return Optional.empty();
        }
        StateChange change = StateChange.ofDrainedZones(replica.snapshot(), List.copyOf(zones));
        return Optional.of(
                new ProposedChange(
                        change,
                        () -> {
                            beforeCommit.run();
                            commit(exchange);
                        }));
    }

    private void commit(ServerExchange exchange) {
        committed.commit(replica.snapshot());
        LOG.info(
                "committed drained zones {} in epoch {}",
                committed.drainedZones(),
                replica.epoch());
        HttpResponses.sendAcknowledgement(exchange);
    }
}
