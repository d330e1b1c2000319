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

/** Who takes over whose place among the instances of a service. */
class OrdinalAssignerTest {
    private static final long WAIT = 5_000;
    private static final long TICK = 100;

    private final InstanceRegistry registry = new InstanceRegistry();

    private static InstanceRecord record(String id, String zone, Stage stage, long sequence) {
        return InstanceRecord.of(id, "s", "10.0.0.1:80", zone, 8, "v1", stage, sequence);
    }

    private void heard(String id, String zone, Stage stage, long now) {
        registry.merge(record(id, zone, stage, now), now);
    }

    private int ordinal(String id) {
        return registry.get(id).ordinal;
    }

    private void settle(String... ids) {
        for (String id : ids) {
            heard(id, id.substring(0, 1), Stage.READY, 0);
        }
        registry.assignOrdinals(WAIT);
    }

    @Test
    void firstInstancesGetOneOrdinalEachOnceTheyHaveWaited() {
        heard("a1", "a", Stage.READY, 0);
        heard("b1", "b", Stage.READY, 10);
        assertTrue(registry.assignOrdinals(WAIT - 1).isEmpty());
        registry.assignOrdinals(WAIT + 10);
        assertEquals(Set.of(1, 2), Set.of(ordinal("a1"), ordinal("b1")));
    }

    @Test
    void aReplacementTakesOverFromTheOneOfItsZoneThatLeaves() {
        settle("a1", "b1");
        heard("b2", "b", Stage.READY, 6_000);
        heard("a1", "a", Stage.DRAINING, 6_500);
        assertTrue(registry.assignOrdinals(7_000).isEmpty(), "of another zone");
        heard("b1", "b", Stage.DRAINING, 7_100);
        assertEquals(List.of("b2"), ids(registry.assignOrdinals(7_200)));
        assertEquals(ordinal("b1"), ordinal("b2"));
        heard("a2", "a", Stage.READY, 8_000);
        registry.assignOrdinals(8_100);
        assertEquals(ordinal("a1"), ordinal("a2"));
    }

    @Test
    void oneThatWasLostAndComesBackKeepsItsOrdinal() {
        settle("a1", "a2");
        registry.merge(record("a1", "a", Stage.LOST, 6_000), 6_000);
        heard("a3", "a", Stage.READY, 6_000);
        registry.assignOrdinals(6_000 + WAIT);
        heard("a1", "a", Stage.READY, 20_000);
        assertEquals(3, Set.of(ordinal("a1"), ordinal("a2"), ordinal("a3")).size());
    }

    @Test
    void heartbeatsAndRecordsOfOtherNodesDoNotTakeAnOrdinalAway() {
        settle("a1");
        heard("a1", "a", Stage.READY, 6_000);
        assertEquals(1, ordinal("a1"));
        InstanceRegistry next = new InstanceRegistry();
        next.merge(record("a1", "a", Stage.READY, 7_000), 7_000);
        next.recover(registry.all(), 7_100);
        assertEquals(1, next.get("a1").ordinal);
        next.expire(30_000, 4_000);
        assertEquals(1, next.get("a1").ordinal);
    }

    /** Drawn upgrades, zone by zone: nobody shares an ordinal, and none is left without. */
    @Test
    void anUpgradeOfEveryZoneLeavesTheSameOrdinals() {
        for (int seed = 0; seed < 200; seed++) {
            upgrade(new SplittableRandom(seed));
        }
    }

    private static void upgrade(SplittableRandom random) {
        InstanceRegistry registry = new InstanceRegistry();
        List<InstanceRecord> old = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            old.add(record("old" + i, "zone" + i / 3, Stage.READY, 1));
            registry.merge(old.get(i), 0);
        }
        registry.assignOrdinals(WAIT);
        long now = WAIT;
        for (InstanceRecord leaving : old) {
            String next = leaving.id.replace("old", "new");
            registry.merge(record(next, leaving.zone, Stage.READY, 1), now);
            now = pass(registry, now, random.nextInt(2_000));
            registry.merge(record(leaving.id, leaving.zone, Stage.DRAINING, 9), now);
            now = pass(registry, now, random.nextInt(2_000));
            registry.merge(record(leaving.id, leaving.zone, Stage.GONE, 10), now);
        }
        pass(registry, now, WAIT);
        Set<Integer> ordinals = new HashSet<>();
        for (InstanceRecord record : registry.all()) {
            if (record.stage == Stage.READY) {
                assertTrue(ordinals.add(record.ordinal), "shared: " + record.ordinal);
                assertEquals(registry.get(record.id.replace("new", "old")).zone, record.zone);
            }
        }
        assertEquals(Set.of(1, 2, 3, 4, 5, 6, 7, 8, 9), ordinals);
    }

    private static long pass(InstanceRegistry registry, long from, long span) {
        long now = from;
        for (; now <= from + span; now += TICK) {
            registry.assignOrdinals(now);
        }
        return now;
    }

    private static List<String> ids(List<InstanceRecord> records) {
        return records.stream().map(r -> r.id).toList();
    }
}
