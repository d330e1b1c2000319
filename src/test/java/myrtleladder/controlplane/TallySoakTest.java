package myrtleladder.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Control processes under random faults: on all nodes each tally stays between what was
 * acknowledged and what may have been applied, and no acknowledged configuration or departure is
 * lost.
 */
class TallySoakTest {
    private static final long FIRST_SEED = Long.getLong("soak.first", 1);
    private static final int NODES = Integer.getInteger("soak.nodes", 8);

    @TempDir Path folder;

    private static ControlTopology topology(int nodes) {
        int toleratedMachines = nodes < 5 ? 1 : 2;
        return new ControlTopology(nodes, Math.min(nodes / 2 + 1, 4), toleratedMachines, 1);
    }

    private void runSeeds(long firstSeed, int seeds, int nodes, int seconds) throws Exception {
        List<String> failures = new ArrayList<>();
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            failures.addAll(runSeed(seed, nodes, seconds));
        }
        assertEquals(List.of(), failures);
    }

    private List<String> runSeed(long seed, int nodes, int seconds) throws Exception {
        Path disks = Files.createDirectory(folder.resolve("seed-" + seed));
        List<String> failures = new ArrayList<>();
        try (SoakRun run = new SoakRun(seed, topology(nodes), seconds * 1_000L, disks)) {
            System.out.printf("seed %d, %d nodes:%n%s", seed, nodes, run.schedule());
            try {
                run.run().forEach(violation -> failures.add("seed " + seed + ": " + violation));
            } catch (AssertionError e) {
                failures.add("seed " + seed + ": " + e.getMessage());
            }
            if (!failures.isEmpty()) {
                System.out.printf(
                        "to play it again: mvn -B -Plong -Dtest=TallySoakTest -Dsoak.first=%d"
                                + " -Dsoak.seeds=1 -Dsoak.nodes=%d -Dsoak.seconds=%d test%n%s%n",
                        seed, nodes, seconds, String.join("\n", failures));
            }
        }
        System.out.printf(
                "seed %d, %d nodes, %d s: %d violations%n", seed, nodes, seconds, failures.size());
        return failures;
    }

    @Test
    void talliesStayConsistentUnderAShortScheduleOfFaults() throws Exception {
        runSeeds(FIRST_SEED, 1, 5, 25);
    }

    @Test
    @Tag("long")
    void talliesStayConsistentUnderManySchedulesOfFaults() throws Exception {
        runSeeds(
                FIRST_SEED,
                Integer.getInteger("soak.seeds", 20),
                NODES,
                Integer.getInteger("soak.seconds", 60));
    }
}
