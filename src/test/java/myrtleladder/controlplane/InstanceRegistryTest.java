package myrtleladder.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.InstanceRecord.Stage;
import org.junit.jupiter.api.Test;

/** Merging of heartbeats and of records from other nodes, in any order. */
class InstanceRegistryTest {
    private static InstanceRecord record(Stage stage, long sequence) {
        return InstanceRecord.of("i", "s", "10.0.0.1:80", "z", 8, "v1", stage, sequence);
    }

    @Test
    void newPrimaryDoesNotAdoptTheLostStageFromAnotherNode() {
        InstanceRegistry registry = new InstanceRegistry();
        registry.merge(record(Stage.READY, 3), 0);
        registry.recover(List.of(record(Stage.LOST, 20)), 1_000);
        assertEquals(Stage.READY, registry.reportedRecord("i").stage);
        assertFalse(registry.expire(4_000, 4_000));
        assertTrue(registry.expire(6_000, 4_000));
        assertEquals(Stage.LOST, registry.reportedRecord("i").stage);
    }

    @Test
    void departureOverridesAllLaterRecords() {
        InstanceRegistry registry = new InstanceRegistry();
        registry.merge(record(Stage.DRAINING, 3), 0);
        assertFalse(registry.merge(record(Stage.READY, 9), 1));
        registry.recover(List.of(record(Stage.GONE, 2)), 2);
        registry.merge(record(Stage.DRAINING, 12), 3);
        assertEquals(Stage.GONE, registry.reportedRecord("i").stage);
    }

    @Test
    void onlyChangedRecordsAreReturnedSinceARevision() {
        InstanceRegistry registry = new InstanceRegistry();
        registry.merge(record(Stage.READY, 1), 0);
        long knownRevision = registry.revision();
        assertFalse(registry.merge(record(Stage.READY, 2), 1_000));
        assertEquals(0, registry.changedSince(knownRevision).size());
        registry.merge(record(Stage.DRAINING, 3), 2_000);
        assertEquals(1, registry.changedSince(knownRevision).size());
    }

    private static InstanceRecord cold(long sequence, long warmupLeftMs) {
        return record(Stage.READY, sequence).withWarmupLeftMs(warmupLeftMs);
    }

    private static long remainingWarmupMs(InstanceRegistry registry, long nowMs) {
        return registry.recordAsOf("i", nowMs).warmupLeftMs();
    }

    @Test
    void warmupThatStartsOrRestartsIsAChangeAndExpiresOnTheLocalClock() {
        InstanceRegistry registry = new InstanceRegistry();
        registry.merge(cold(1, 0), 10_000);
        assertEquals(0, remainingWarmupMs(registry, 10_000));
        assertTrue(registry.merge(cold(2, 3_000), 11_000));
        assertFalse(registry.merge(cold(3, 1_790), 12_200));
        long remainingMs = remainingWarmupMs(registry, 12_200);
        assertTrue(
                remainingMs >= 1_800 && remainingMs <= 2_000, "remaining warm-up " + remainingMs);
        assertTrue(registry.merge(cold(4, 3_000), 13_400));
        assertEquals(0, remainingWarmupMs(registry, 16_700));
        assertFalse(registry.merge(cold(5, 0), 16_700));
    }

    @Test
    void lateHeartbeatDoesNotEndAWarmup() {
        InstanceRegistry registry = new InstanceRegistry();
        registry.merge(cold(5, 3_000), 10_000);
        assertFalse(registry.merge(cold(4, 0), 10_500));
        registry.recover(List.of(cold(5, 0)), 10_600);
        assertTrue(remainingWarmupMs(registry, 10_600) >= 2_400);
        assertTrue(registry.merge(cold(6, 0), 10_700));
        assertEquals(0, remainingWarmupMs(registry, 10_700));
    }

    @Test
    void instancesOfARestoredZoneAreColdUntilTheirNextHeartbeat() {
        InstanceRegistry registry = new InstanceRegistry();
        registry.merge(cold(1, 0), 10_000);
        assertEquals(0, registry.assumeCold("y", 2_400, 10_000).size());
        assertTrue(registry.assumeCold("z", 2_400, 10_000).get(0).warmupLeftMs() >= 2_400);
        assertTrue(registry.merge(cold(2, 0), 11_000));
        assertEquals(0, remainingWarmupMs(registry, 11_000));
    }

    @Test
    void unresponsiveInstanceIsAssumedColdBeforeItIsLost() {
        InstanceRegistry registry = new InstanceRegistry();
        registry.merge(cold(1, 0), 10_000);
        assertFalse(registry.assumeColdWithoutHeartbeat(3_000, 2_400, 13_000));
        assertTrue(registry.assumeColdWithoutHeartbeat(3_000, 2_400, 13_001));
        assertFalse(registry.assumeColdWithoutHeartbeat(3_000, 2_400, 13_100));
        assertTrue(remainingWarmupMs(registry, 13_100) > 0);
    }
}
