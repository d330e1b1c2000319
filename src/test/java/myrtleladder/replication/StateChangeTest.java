package myrtleladder.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import myrtleladder.protocol.MessageCodec;
import myrtleladder.protocol.ReplicateRequest;
import myrtleladder.protocol.Snapshot;
import myrtleladder.protocol.StoredState;
import org.junit.jupiter.api.Test;

/**
 * How replicas apply a change, including one from a primary of an earlier version, which does not
 * send drained zones.
 */
class StateChangeTest {
    private static final byte[] DOCUMENT = {1, 2};

    private final Snapshot before =
            Snapshot.of(DOCUMENT, 5, List.of("a")).withDrainedZones(List.of("z"));

    private static Snapshot received(ReplicateRequest request, Snapshot before) {
        byte[] bytes = MessageCodec.encode(request);
        return StateChange.fromRequest((ReplicateRequest) MessageCodec.decode(bytes))
                .applyTo(before);
    }

    @Test
    void drainedZonesReachAReplicaAndItsDisk() {
        for (List<String> zones : List.of(List.of("x", "z"), List.<String>of())) {
            StateChange change = StateChange.ofDrainedZones(before, zones);
            Snapshot after = received(change.toRequest(7), before);
            byte[] stored = MessageCodec.encode(StoredState.of("s", 7, null, after));
            Snapshot loaded = ((StoredState) MessageCodec.decode(stored)).snapshot;
            assertEquals(zones, loaded.drainedZones);
            assertEquals(5, loaded.generation);
            assertEquals(List.of("a"), loaded.changeDigests);
        }
    }

    @Test
    void changeFromAPrimaryOfAnEarlierVersionKeepsTheDrainedZones() {
        Snapshot after = received(ReplicateRequest.of(7, DOCUMENT, 6, "b"), before);
        assertEquals(List.of("z"), after.drainedZones);
        assertEquals(List.of("a", "b"), after.changeDigests);
        assertEquals(6, after.generation);
    }
}
