package myrtleladder.controlplane.model;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import myrtleladder.replication.ManualScheduler;

/** The links between machines: delays, partitions in one or both directions, and slow links. */
final class SimulatedNetwork {
    private static final int MAX_DELAY_MS = 4;
    private static final int MAX_SLOW_DELAY_MS = 1_500;

    private final ManualScheduler clock;
    private final SplittableRandom random;
    private final Set<String> partitionedLinks = new HashSet<>();
    private final Set<String> slowMachines = new HashSet<>();

    SimulatedNetwork(ManualScheduler clock, SplittableRandom random) {
        this.clock = clock;
        this.random = random;
    }

    /** Runs the arrival after a random delay, unless the link is partitioned by then. */
    void carry(String from, String to, Runnable arrival) {
        boolean isSlow = slowMachines.contains(from) || slowMachines.contains(to);
        long delayMs = 1L + random.nextInt(isSlow ? MAX_SLOW_DELAY_MS : MAX_DELAY_MS);
        clock.schedule(
                delayMs,
                () -> {
                    if (!partitionedLinks.contains(link(from, to))) {
                        arrival.run();
                    }
                });
    }

    private static String link(String from, String to) {
        return from + ">" + to;
    }

    void partitionOneWay(String from, String to) {
        partitionedLinks.add(link(from, to));
    }

    void partition(String one, String other) {
        partitionOneWay(one, other);
        partitionOneWay(other, one);
    }

    void slowDown(String machine) {
        slowMachines.add(machine);
    }

    void heal() {
        partitionedLinks.clear();
        slowMachines.clear();
    }
}
