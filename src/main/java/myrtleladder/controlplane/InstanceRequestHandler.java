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
 * departure ({@code DELETE}). A heartbeat is acknowledged at once; draining and departure are
 * acknowledged once all replicas of the view have them on their disks, and else answered with 503.
 *
 * <p>Confined to the event loop.
 */
final class InstanceRequestHandler {
    private final Scheduler scheduler;
    private final InstanceRegistry instances;
    private final InstanceReplicator replicator;
    private final InstanceSaveScheduler saves;
    private final PollRequestHandler polls;
    private final BooleanSupplier isConfirmedPrimary;
    private Replica replica;

    /**
     * Creates a handler.
     *
     * @param isConfirmedPrimary whether a majority confirmed of late that this node is primary
     */
    InstanceRequestHandler(
            Scheduler scheduler,
            InstanceRegistry instances,
            InstanceReplicator replicator,
            InstanceSaveScheduler saves,
            PollRequestHandler polls,
            BooleanSupplier isConfirmedPrimary) {
        this.scheduler = scheduler;
        this.instances = instances;
        this.replicator = replicator;
        this.saves = saves;
        this.polls = polls;
        this.isConfirmedPrimary = isConfirmedPrimary;
    }

    /** Sets the replica that knows who is primary; has to precede all else. */
    void attach(Replica attached) {
        replica = attached;
    }

    /** Accepts a request about the instance with this identifier. */
    void handle(ServerExchange exchange, String id) {
        if (!isConfirmedPrimary.getAsBoolean()) {
            HttpResponses.redirectToPrimary(exchange, replica);
        } else if (exchange.head().method().equals("DELETE")) {
            update(exchange, departureOf(id));
        } else {
            handleHeartbeat(exchange, id);
        }
    }

    /** The departure of an instance, known or not: other nodes may know what this one does not. */
    private InstanceRecord departureOf(String id) {
        InstanceRecord known = instances.get(id);
        return known == null ? InstanceRecord.departed(id) : known.withStage(Stage.GONE);
    }

    private void handleHeartbeat(ServerExchange exchange, String id) {
        InstanceRecord record;
        try {
            record = InstanceHeartbeatParser.parse(id, JsonCodec.parseObject(exchange.body()));
        } catch (ResultException e) {
            HttpResponses.error(exchange, HttpResponses.BAD_REQUEST, e.getMessage());
            return;
        }
        update(exchange, record);
    }

    private void update(ServerExchange exchange, InstanceRecord record) {
        boolean hasChanged = instances.merge(record, scheduler.now());
        if (hasChanged) {
            polls.sendUpdates();
            saves.schedule();
        }
        InstanceRecord merged = instances.get(record.id, scheduler.now());
        if (merged.isLeaving()) {
            replicator.replicateDurably(merged, isDurable -> answer(exchange, isDurable));
            return;
        }
        if (hasChanged) {
            replicator.replicate(merged);
        }
        HttpResponses.acknowledge(exchange);
    }

    private static void answer(ServerExchange exchange, boolean isDurable) {
        if (isDurable) {
            HttpResponses.acknowledge(exchange);
        } else {
            HttpResponses.unavailable(exchange);
        }
    }
}
