package myrtleladder.replication;

import java.util.List;
import myrtleladder.protocol.DrainedZones;
import myrtleladder.protocol.ReplicateRequest;
import myrtleladder.protocol.Snapshot;

/**
 * A change of the replicated state, with everything that a replica needs to apply it.
 *
 * @param document the configuration after the change, as compressed JSON
 * @param generation the operator's generation number of the document after the change
 * @param changeDigest identifies the request that changes the configuration, so that a retry is
 *     recognised; empty for other changes
 * @param drainedZones the drained zones after the change, in ascending order; null to keep the
 *     previous ones
 */
public record StateChange(
        byte[] document, long generation, String changeDigest, List<String> drainedZones) {
    private static final String NO_DIGEST = "";

    /** Returns a change that replaces the configuration document. */
    public static StateChange ofDocument(byte[] document, long generation, String changeDigest) {
        return new StateChange(document, generation, changeDigest, null);
    }

    /** Returns a change that replaces the drained zones of a state. */
    public static StateChange ofDrainedZones(Snapshot before, List<String> drainedZones) {
        return new StateChange(before.document, before.generation, NO_DIGEST, drainedZones);
    }

    static StateChange fromRequest(ReplicateRequest request) {
        DrainedZones zones = request.drainedZones;
        return new StateChange(
                request.document,
                request.generation,
                request.changeDigest,
                zones == null ? null : zones.names);
    }

    /** Returns the request with which a primary sends this change to another replica. */
    ReplicateRequest toRequest(long epoch) {
        ReplicateRequest request = ReplicateRequest.of(epoch, document, generation, changeDigest);
        request.drainedZones = drainedZones == null ? null : DrainedZones.of(drainedZones);
        return request;
    }

    /** Returns the state after this change. */
    Snapshot applyTo(Snapshot before) {
        Snapshot after =
                changeDigest.equals(NO_DIGEST)
                        ? Snapshot.of(document, generation, before.changeDigests)
                        : before.withChange(document, generation, changeDigest);
        return after.withDrainedZones(drainedZones == null ? before.drainedZones : drainedZones);
    }
}
