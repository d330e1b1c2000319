package myrtleladder.controlplane.model;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A run with random faults that follow each other as closely as the fault model allows: each starts
 * once the machines of the previous one have been back for the catch-up time. The same seed gives
 * the same run.
 */
final class FaultSchedule {
    /** After the last fault a change must be acknowledged within this time. */
    private static final long RECOVERY_TIMEOUT_MS = 12_000;

    /** The longest wait for the acknowledgement that a fault shall follow. */
    private static final long COMMITMENT_TIMEOUT_MS = 1_500;

    /** The cluster sizes, selected by the seed. */
    private static final int[] SIZES = {3, 4, 3, 5, 8};

    private final SimulatedCluster cluster;
    private final SplittableRandom random;
    private final FaultInjector injector;
    private final StringBuilder log = new StringBuilder();

    private FaultSchedule(long seed, Safeguard removedSafeguard) {
        this.random = new SplittableRandom(seed * 31 + 7);
        int size = SIZES[(int) (seed % SIZES.length)];
        this.cluster = SimulatedCluster.ofSize(size).seed(seed).without(removedSafeguard).build();
        this.injector = new FaultInjector(cluster, random);
    }

    /** Runs the schedule of a seed; without a removed safeguard no violation is expected. */
    static List<String> violations(long seed, Safeguard removedSafeguard) {
        FaultSchedule schedule = new FaultSchedule(seed, removedSafeguard);
        schedule.run(2 + schedule.random.nextInt(2));
        List<String> violations = new ArrayList<>(schedule.cluster.history.violations());
        if (!violations.isEmpty()) {
            violations.add("schedule: " + schedule.log);
        }
        return violations;
    }

    private void run(int faultCount) {
        cluster.start();
        cluster.clock.run(1_500 + random.nextInt(500));
        for (int i = 0; i < faultCount && cluster.history.violations().isEmpty(); i++) {
            cluster.operators.forEach(
                    o -> o.setResponseLossRatio(random.nextInt(3) == 0 ? 0.6 : 0));
            FaultInjector.Fault[] faults = FaultInjector.Fault.values();
            FaultInjector.Fault fault = faults[random.nextInt(faults.length)];
            log.append(fault).append('@').append(cluster.clock.now() % 100_000).append(' ');
            if (random.nextBoolean()) {
                cluster.awaitCommitment(COMMITMENT_TIMEOUT_MS);
                cluster.clock.run((long) random.nextInt(2) * random.nextInt(400));
            }
            List<SimulatedNode> victims = injector.chooseVictims();
            log.append(victims.stream().map(victim -> victim.address).toList()).append(' ');
            long pauseMs = injector.inject(fault, victims);
            cluster.clock.run(pauseMs + (long) random.nextInt(4) * random.nextInt(250));
        }
        if (cluster.history.violations().isEmpty()) {
            cluster.operators.forEach(o -> o.setResponseLossRatio(0));
            cluster.expectAcknowledgement(RECOVERY_TIMEOUT_MS, "after all faults");
            cluster.expectDrain(RECOVERY_TIMEOUT_MS, "after all faults");
            cluster.expectAllAreMembers("after all faults");
        }
    }
}
