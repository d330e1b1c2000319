package myrtleladder.controlplane.model;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import myrtleladder.replication.ManualScheduler;

/** Links between machines: delays, cuts in one or both directions, and links that are slow. */
final class SimulatedNetwork {
    private static final int DELAY = 4;
    private static final int SLOW_DELAY = 1_500;

    private final ManualScheduler clock;
    private final SplittableRandom random;
    private final Set<String> cuts = new HashSet<>();
    private final Set<String> slow = new HashSet<>();

    SimulatedNetwork(ManualScheduler clock, SplittableRandom random) {
        this.clock = clock;
        this.random = random;
    }

    /** Carries something; what a cut holds up never arrives. */
    void carry(String from, String to, Runnable arrival) {
        boolean late = slow.contains(from) || slow.contains(to);
        long delay = 1 + random.nextInt(late ? SLOW_DELAY : DELAY);
        clock.schedule(
                delay,
                () -> {
                    if (!cuts.contains(link(from, to))) {
                        arrival.run();
                    }
                });
    }

    private static String link(String from, String to) {
        return from + ">" + to;
    }

    void cutOneWay(String from, String to) {
        cuts.add(link(from, to));
    }

    void cut(String one, String other) {
        cutOneWay(one, other);
        cutOneWay(other, one);
    }

    void slow(String machine) {
        slow.add(machine);
    }

    void heal() {
        cuts.clear();
        slow.clear();
    }
}
