package myrtleladder.controlplane.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Random faults while clients add to tallies and read them. A failed case prints its number, which
 * is its seed.
 */
class RandomTallyScheduleTest {
    private static final long CASES_IN_CI = 60;
    private static final long CASES_IN_LONG_PROFILE = 10_000;
    private static final String LONG_TEST =
            "RandomTallyScheduleTest#manyRandomFaultsLoseNoAdditionAndCountNoneTwice";
    private static final int[] SIZES = {8, 5, 8, 4, 8, 3};
    private static final int CLIENTS = 3;

    @Test
    void randomFaultsLoseNoAdditionAndCountNoneTwice() {
        assertEquals(List.of(), sweep(0, CASES_IN_CI));
    }

    @Test
    @Tag("long")
    void manyRandomFaultsLoseNoAdditionAndCountNoneTwice() {
        assertEquals(List.of(), sweep(CASES_IN_CI, CASES_IN_CI + CASES_IN_LONG_PROFILE));
    }

    private static List<String> sweep(long from, long to) {
        return new Sweep("tallies", LONG_TEST, from, to).run(RandomTallyScheduleTest::violations);
    }

    private static String violations(long seed) {
        SimulatedCluster cluster =
                SimulatedCluster.ofSize(SIZES[(int) (seed % SIZES.length)])
                        .seed(seed)
                        .withTallies()
                        .build();
        cluster.start();
        TallyHistory history = new TallyHistory(cluster.history);
        List<TallyClient> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new TallyClient(cluster, history, "app" + i + "-"));
        }
        clients.forEach(TallyClient::start);
        cluster.clock.run(1_000);
        List<String> faults = injectFaults(cluster, clients, new SplittableRandom(seed * 17 + 3));
        clients.forEach(TallyClient::stop);
        clients.get(0).checkMerged("at the end");
        if (clients.stream().mapToInt(TallyClient::acknowledgedCount).sum() == 0) {
            cluster.history.addViolation("no addition was acknowledged");
        }
        List<String> violations = cluster.history.violations();
        return violations.isEmpty() ? "" : seed + ": " + violations + " after " + faults;
    }

    private static List<String> injectFaults(
            SimulatedCluster cluster, List<TallyClient> clients, SplittableRandom random) {
        FaultInjector injector = new FaultInjector(cluster, random);
        FaultInjector.Fault[] kinds = FaultInjector.Fault.values();
        List<String> faults = new ArrayList<>();
        for (int i = 0; i < 2 && cluster.history.violations().isEmpty(); i++) {
            FaultInjector.Fault fault = kinds[random.nextInt(kinds.length)];
            List<SimulatedNode> victims = injector.chooseVictims();
            String where = victims.stream().map(node -> node.address).toList().toString();
            faults.add(fault + "@" + cluster.clock.now() + where);
            cluster.clock.run(injector.inject(fault, victims));
            clients.get(0).checkMerged("after " + fault);
        }
        return faults;
    }
}
