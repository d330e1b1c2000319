package myrtleladder.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.InstanceRecord.Stage;
import org.junit.jupiter.api.Test;

/** Heartbeats and records of other nodes in any order. */
class InstanceRegistryTest {
    private static InstanceRecord record(Stage stage, long sequence) {
        return InstanceRecord.of("i", "s", "10.0.0.1:80", "z", 8, "v1", stage, sequence);
    }

    @Test
    void newPrimaryTakesNoInstanceForLostBecauseAnotherNodeDid() {
        InstanceRegistry registry = new InstanceRegistry();
        registry.merge(record(Stage.READY, 3), 0);
        registry.recover(List.of(record(Stage.LOST, 20)), 1_000);
        assertEquals(Stage.READY, registry.get("i").stage);
        assertFalse(registry.expire(4_000, 4_000));
        assertTrue(registry.expire(6_000, 4_000));
        assertEquals(Stage.LOST, registry.get("i").stage);
    }

    @Test
    void departureHoldsAgainstAllLaterRecords() {
        InstanceRegistry registry = new InstanceRegistry();
        registry.merge(record(Stage.DRAINING, 3), 0);
        assertFalse(registry.merge(record(Stage.READY, 9), 1));
        registry.recover(List.of(record(Stage.GONE, 2)), 2);
        registry.merge(record(Stage.DRAINING, 12), 3);
        assertEquals(Stage.GONE, registry.get("i").stage);
    }

    @Test
    void onlyChangedRecordsFollowARevision() {
        InstanceRegistry registry = new InstanceRegistry();
        registry.merge(record(Stage.READY, 1), 0);
        long knownRevision = registry.revision();
        assertFalse(registry.merge(record(Stage.READY, 2), 1_000));
        assertEquals(0, registry.changedSince(knownRevision).size());
        registry.merge(record(Stage.DRAINING, 3), 2_000);
        assertEquals(1, registry.changedSince(knownRevision).size());
    }
}
