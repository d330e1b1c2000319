package myrtleladder.controlplane;

import java.util.function.BooleanSupplier;
import myrtleladder.configuration.JsonCodec;
import myrtleladder.http.ServerExchange;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.InstanceRecord.Stage;
import myrtleladder.replication.Replica;
import myrtleladder.result.ResultException;
import myrtleladder.scheduler.Scheduler;

/**
 * Handles {@code /instances/ID} on the primary: heartbeats of upstreams ({@code PUT}) and their
 * departure ({@code DELETE}). A heartbeat is acknowledged at once. Draining and departure are
 * acknowledged once all replicas of the view have stored them on disk; otherwise the response is
 * 503.
 *
 * <p>Confined to the event loop.
 */
final class InstanceRequestHandler {
    private final Scheduler scheduler;
    private final InstanceRegistry instances;
    private final InstanceReplicator replicator;
    private final InstanceSaveScheduler saveScheduler;
    private final PollRequestHandler pollRequests;
    private final BooleanSupplier isConfirmedPrimary;
    private Replica replica;

    /**
     * Creates a handler.
     *
     * @param isConfirmedPrimary whether a majority has recently confirmed that this node is primary
     */
    InstanceRequestHandler(
            Scheduler scheduler,
            InstanceRegistry instances,
            InstanceReplicator replicator,
            InstanceSaveScheduler saveScheduler,
            PollRequestHandler pollRequests,
            BooleanSupplier isConfirmedPrimary) {
        this.scheduler = scheduler;
        this.instances = instances;
        this.replicator = replicator;
        this.saveScheduler = saveScheduler;
        this.pollRequests = pollRequests;
        this.isConfirmedPrimary = isConfirmedPrimary;
    }

    /** Sets the replica that knows the primary. Must be called before any other method. */
    void attach(Replica attached) {
        replica = attached;
    }

    /** Handles a request for the instance with this identifier. */
    void handle(ServerExchange exchange, String id) {
        if (!isConfirmedPrimary.getAsBoolean()) {
            HttpResponses.redirectToPrimary(exchange, replica);
        } else if (exchange.head().method().equals("DELETE")) {
            update(exchange, departureOf(id));
        } else {
            handleHeartbeat(exchange, id);
        }
    }

    /**
     * Returns the departure record of an instance, also of an unknown one, since other nodes may
     * know it.
     */
    private InstanceRecord departureOf(String id) {
        InstanceRecord known = instances.reportedRecord(id);
        return known == null ? InstanceRecord.departed(id) : known.withStage(Stage.GONE);
    }

    private void handleHeartbeat(ServerExchange exchange, String id) {
        InstanceRecord record;
        try {
            record = InstanceHeartbeatParser.parse(id, JsonCodec.parseObject(exchange.body()));
        } catch (ResultException e) {
            HttpResponses.sendError(exchange, HttpResponses.BAD_REQUEST, e.getMessage());
            return;
        }
        update(exchange, record);
    }

    private void update(ServerExchange exchange, InstanceRecord record) {
        boolean hasChanged = instances.merge(record, scheduler.now());
        if (hasChanged) {
            pollRequests.sendUpdates();
            saveScheduler.schedule();
        }
        InstanceRecord merged = instances.recordAsOf(record.id, scheduler.now());
        if (merged.isLeaving()) {
            replicator.replicateDurably(merged, isDurable -> respond(exchange, isDurable));
            return;
        }
        if (hasChanged) {
            replicator.replicate(merged);
        }
        HttpResponses.sendAcknowledgement(exchange);
    }

    private static void respond(ServerExchange exchange, boolean isDurable) {
        if (isDurable) {
            HttpResponses.sendAcknowledgement(exchange);
        } else {
            HttpResponses.sendUnavailable(exchange);
        }
    }
}
