package myrtleladder.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.InstanceRecord.Stage;
import org.junit.jupiter.api.Test;

/** Ordinals of the instances of a service while instances join, leave and are replaced. */
class OrdinalAssignerTest {
    private static final long PREDECESSOR_WAIT_MS = 5_000;
    private static final long TICK_INTERVAL_MS = 100;

    private final InstanceRegistry registry = new InstanceRegistry();

    private static InstanceRecord record(String id, String zone, Stage stage, long sequence) {
        return InstanceRecord.of(id, "s", "10.0.0.1:80", zone, 8, "v1", stage, sequence);
    }

    private void heartbeat(String id, String zone, Stage stage, long nowMs) {
        registry.merge(record(id, zone, stage, nowMs), nowMs);
    }

    private int ordinal(String id) {
        return registry.reportedRecord(id).ordinal;
    }

    private void assignFirstOrdinals(String... ids) {
        for (String id : ids) {
            heartbeat(id, id.substring(0, 1), Stage.READY, 0);
        }
        registry.assignOrdinals(PREDECESSOR_WAIT_MS);
    }

    @Test
    void newInstancesGetDistinctOrdinalsAfterThePredecessorWait() {
        heartbeat("a1", "a", Stage.READY, 0);
        heartbeat("b1", "b", Stage.READY, 10);
        assertTrue(registry.assignOrdinals(PREDECESSOR_WAIT_MS - 1).isEmpty());
        registry.assignOrdinals(PREDECESSOR_WAIT_MS + 10);
        assertEquals(Set.of(1, 2), Set.of(ordinal("a1"), ordinal("b1")));
    }

    @Test
    void replacementTakesOverTheOrdinalOfALeavingInstanceOfItsZone() {
        assignFirstOrdinals("a1", "b1");
        heartbeat("b2", "b", Stage.READY, 6_000);
        heartbeat("a1", "a", Stage.DRAINING, 6_500);
        assertTrue(
                registry.assignOrdinals(7_000).isEmpty(),
                "a leaving instance of another zone is no predecessor");
        heartbeat("b1", "b", Stage.DRAINING, 7_100);
        assertEquals(List.of("b2"), ids(registry.assignOrdinals(7_200)));
        assertEquals(ordinal("b1"), ordinal("b2"));
        heartbeat("a2", "a", Stage.READY, 8_000);
        registry.assignOrdinals(8_100);
        assertEquals(ordinal("a1"), ordinal("a2"));
    }

    @Test
    void lostInstanceThatReturnsKeepsItsOrdinal() {
        assignFirstOrdinals("a1", "a2");
        registry.merge(record("a1", "a", Stage.LOST, 6_000), 6_000);
        heartbeat("a3", "a", Stage.READY, 6_000);
        registry.assignOrdinals(6_000 + PREDECESSOR_WAIT_MS);
        heartbeat("a1", "a", Stage.READY, 20_000);
        assertEquals(3, Set.of(ordinal("a1"), ordinal("a2"), ordinal("a3")).size());
    }

    @Test
    void heartbeatsAndRecoveredRecordsKeepTheOrdinal() {
        assignFirstOrdinals("a1");
        heartbeat("a1", "a", Stage.READY, 6_000);
        assertEquals(1, ordinal("a1"));
        InstanceRegistry next = new InstanceRegistry();
        next.merge(record("a1", "a", Stage.READY, 7_000), 7_000);
        next.recover(registry.reportedRecords(), 7_100);
        assertEquals(1, next.reportedRecord("a1").ordinal);
        next.expire(30_000, 4_000);
        assertEquals(1, next.reportedRecord("a1").ordinal);
    }

    /** After random upgrades, zone by zone, each instance has an ordinal of its own. */
    @Test
    void upgradeOfAllZonesLeavesTheSameOrdinals() {
        for (int seed = 0; seed < 200; seed++) {
            assertUpgradeKeepsOrdinals(new SplittableRandom(seed));
        }
    }

    private static void assertUpgradeKeepsOrdinals(SplittableRandom random) {
        InstanceRegistry registry = new InstanceRegistry();
        List<InstanceRecord> old = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            old.add(record("old" + i, "zone" + i / 3, Stage.READY, 1));
            registry.merge(old.get(i), 0);
        }
        registry.assignOrdinals(PREDECESSOR_WAIT_MS);
        long nowMs = PREDECESSOR_WAIT_MS;
        for (InstanceRecord leaving : old) {
            String next = leaving.id.replace("old", "new");
            registry.merge(record(next, leaving.zone, Stage.READY, 1), nowMs);
            nowMs = runTicks(registry, nowMs, random.nextInt(2_000));
            registry.merge(record(leaving.id, leaving.zone, Stage.DRAINING, 9), nowMs);
            nowMs = runTicks(registry, nowMs, random.nextInt(2_000));
            registry.merge(record(leaving.id, leaving.zone, Stage.GONE, 10), nowMs);
        }
        runTicks(registry, nowMs, PREDECESSOR_WAIT_MS);
        Set<Integer> ordinals = new HashSet<>();
        for (InstanceRecord record : registry.reportedRecords()) {
            if (record.stage == Stage.READY) {
                assertTrue(ordinals.add(record.ordinal), "shared ordinal: " + record.ordinal);
                assertEquals(
                        registry.reportedRecord(record.id.replace("new", "old")).zone, record.zone);
            }
        }
        assertEquals(Set.of(1, 2, 3, 4, 5, 6, 7, 8, 9), ordinals);
    }

    private static long runTicks(InstanceRegistry registry, long fromMs, long durationMs) {
        long nowMs = fromMs;
        for (; nowMs <= fromMs + durationMs; nowMs += TICK_INTERVAL_MS) {
            registry.assignOrdinals(nowMs);
        }
        return nowMs;
    }

    private static List<String> ids(List<InstanceRecord> records) {
        return records.stream().map(r -> r.id).toList();
    }
}
