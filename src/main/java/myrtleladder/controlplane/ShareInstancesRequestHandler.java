package myrtleladder.controlplane;

import java.util.function.Consumer;
import myrtleladder.protocol.AcknowledgeResponse;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.ShareInstancesRequest;
import myrtleladder.replication.Replica;
import myrtleladder.scheduler.Scheduler;

/**
 * Handles the records of upstream instances that the primary sends ({@link InstanceReplicator}). A
 * record that must be durable is acknowledged once it is on disk. A request from a primary of a
 * lower epoch is rejected.
 *
 * <p>Confined to the event loop.
 */
final class ShareInstancesRequestHandler {
    private final Scheduler scheduler;
    private final InstanceRegistry instances;
    private final InstanceSaveScheduler saveScheduler;
    private Replica replica;

    ShareInstancesRequestHandler(
            Scheduler scheduler, InstanceRegistry instances, InstanceSaveScheduler saveScheduler) {
        this.scheduler = scheduler;
        this.instances = instances;
        this.saveScheduler = saveScheduler;
    }

    /** Sets the replica that knows the epoch. Must be called before any other method. */
    void attach(Replica attached) {
        replica = attached;
    }

    /** Handles a request; {@code responder} receives the acknowledgement, possibly later. */
    void handle(ShareInstancesRequest request, Consumer<Message> responder) {
        if (request.epoch < replica.epoch()) {
            responder.accept(acknowledgement(false));
            return;
        }
        request.instances.forEach(record -> instances.merge(record, scheduler.now()));
        if (request.syncRequired) {
            replica.saveInstances(isSaved -> responder.accept(acknowledgement(isSaved)));
        } else {
            saveScheduler.schedule();
            responder.accept(acknowledgement(true));
        }
    }

    private AcknowledgeResponse acknowledgement(boolean isAccepted) {
        return AcknowledgeResponse.of(isAccepted, replica.epoch(), replica.self());
    }
}
