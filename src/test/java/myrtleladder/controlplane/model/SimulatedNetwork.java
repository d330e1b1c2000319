package myrtleladder.controlplane.model;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import myrtleladder.replication.ManualScheduler;

/**
 * The links between machines: delays, partitions in one or both directions, and slow links. A
 * partition drops messages or, like a connection over TCP, holds them back until it is healed.
 */
final class SimulatedNetwork {
    private static final int MAX_DELAY_MS = 4;
    private static final int MAX_SLOW_DELAY_MS = 1_500;
    private static final int MAX_RETRANSMISSION_DELAY_MS = 300;

    private final ManualScheduler clock;
    private final SplittableRandom random;
    private final Set<String> partitionedLinks = new HashSet<>();
    private final Map<String, List<Runnable>> heldMessagesByLink = new LinkedHashMap<>();
    private final Set<String> slowMachines = new HashSet<>();

    SimulatedNetwork(ManualScheduler clock, SplittableRandom random) {
        this.clock = clock;
        this.random = random;
    }

    /**
     * Runs the arrival after a random delay. If the link is partitioned by then, the message is
     * dropped or held back.
     */
    void carry(String from, String to, Runnable arrival) {
        boolean isSlow = slowMachines.contains(from) || slowMachines.contains(to);
        long delayMs = 1L + random.nextInt(isSlow ? MAX_SLOW_DELAY_MS : MAX_DELAY_MS);
        clock.schedule(delayMs, () -> arrive(link(from, to), arrival));
    }

    private void arrive(String link, Runnable arrival) {
        if (heldMessagesByLink.containsKey(link)) {
            heldMessagesByLink.get(link).add(arrival);
        } else if (!partitionedLinks.contains(link)) {
            arrival.run();
        }
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

    /** Partitions a link in both directions and holds its messages back until it is healed. */
    void holdBack(String one, String other) {
        heldMessagesByLink.put(link(one, other), new ArrayList<>());
        heldMessagesByLink.put(link(other, one), new ArrayList<>());
    }

    /** Heals a link in both directions and delivers the messages that it held back. */
    void heal(String one, String other) {
        healOneWay(link(one, other));
        healOneWay(link(other, one));
    }

    private void healOneWay(String link) {
        partitionedLinks.remove(link);
        List<Runnable> heldMessages = heldMessagesByLink.remove(link);
        if (heldMessages != null) {
            clock.schedule(
                    1L + random.nextInt(MAX_RETRANSMISSION_DELAY_MS),
                    () -> heldMessages.forEach(Runnable::run));
        }
    }

    void slowDown(String machine) {
        slowMachines.add(machine);
    }

    void heal() {
        partitionedLinks.clear();
        List.copyOf(heldMessagesByLink.keySet()).forEach(this::healOneWay);
        slowMachines.clear();
    }
}
