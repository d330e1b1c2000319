package myrtleladder.controlplane;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;
import myrtleladder.testbed.fault.Fault;
import myrtleladder.testbed.fault.LinkFault;

/**
 * Draws the faults of a run from its seed: process faults, wiped disks and partitions, which may
 * overlap. At most the tolerated number of machines is disturbed at once, except by partitions and
 * by kills of all processes. The last fault kills all processes and wipes the tolerated number of
 * disks.
 */
final class SoakSchedule {
    /** How long a node counts as disturbed after a start or resume; allows for slow starts. */
    private static final long RESTART_RECOVERY_MS = 7_000;

    private static final long FIRST_FAULT_MS = 1_500;
    private static final long MAX_GAP_MS = 2_000;
    private static final long MAX_CUT_MS = 9_000;
    private static final long CALM_MS = 6_000;

    /** How many kinds of faults are tried until one is possible. */
    private static final int MAX_DRAW_ATTEMPTS = 10;

    private static final int NO_LIMIT = Integer.MAX_VALUE;

    private final Random random;
    private final ControlTopology topology;
    private final List<Step> steps = new ArrayList<>();
    private final Map<String, Long> disturbedUntilMs = new HashMap<>();
    private long nowMs = FIRST_FAULT_MS;
    private long cutUntilMs;

    /**
     * Faults that are injected at once.
     *
     * @param wiped nodes whose disks are emptied after the faults
     * @param maxNodesCatchingUp the step waits until at most that many nodes are catching up
     */
    record Step(
            long atMs,
            String text,
            List<Fault> faults,
            List<String> wiped,
            int maxNodesCatchingUp) {
        @Override
        public String toString() {
            return "%6d ms  %s%s".formatted(atMs, text, wiped.isEmpty() ? "" : ", wiped " + wiped);
        }
    }

    private enum Kind {
        KILL,
        TERMINATE,
        SUSPEND,
        WIPE,
        KILL_ALL,
        CUT,
        CALM
    }

    private static final List<Kind> KINDS_BY_WEIGHT =
            List.of(
                    Kind.KILL,
                    Kind.KILL,
                    Kind.TERMINATE,
                    Kind.SUSPEND,
                    Kind.SUSPEND,
                    Kind.WIPE,
                    Kind.WIPE,
                    Kind.KILL_ALL,
                    Kind.CUT,
                    Kind.CUT,
                    Kind.CUT,
                    Kind.CUT,
                    Kind.CALM);

    private SoakSchedule(long seed, ControlTopology topology) {
        this.random = new Random(seed);
        this.topology = topology;
    }

    /** The steps of a run in their order. */
    static List<Step> draw(long seed, ControlTopology topology, long durationMs) {
        SoakSchedule schedule = new SoakSchedule(seed, topology);
        while (schedule.nowMs < durationMs) {
            schedule.drawNext();
        }
        schedule.drawFinalFault();
        schedule.steps.sort(Comparator.comparingLong(Step::atMs));
        return schedule.steps;
    }

    private void drawNext() {
        int stepsBefore = steps.size();
        for (int i = 0; i < MAX_DRAW_ATTEMPTS && steps.size() == stepsBefore; i++) {
            draw(pick(KINDS_BY_WEIGHT));
        }
        nowMs += 100 + random.nextLong(MAX_GAP_MS);
    }

    /** Adds a fault if it is possible now. */
    private void draw(Kind kind) {
        switch (kind) {
            case KILL -> killOne(3_000, false);
            case WIPE -> killOne(2_000, true);
            case TERMINATE -> terminateOne();
            case SUSPEND -> suspendOne();
            case KILL_ALL -> killAll();
            case CUT -> cut(500 + random.nextLong(MAX_CUT_MS));
            case CALM -> waitForCalm();
            default -> throw new IllegalArgumentException(kind.name());
        }
    }

    private <T> T pick(List<T> choices) {
        return choices.get(random.nextInt(choices.size()));
    }

    private void add(long atMs, String text, List<Fault> faults) {
        steps.add(new Step(atMs, text, faults, List.of(), NO_LIMIT));
    }

    /** Picks a node that may be disturbed now, null if there is none. */
    private String pickNodeToDisturb() {
        List<String> present =
                topology.names().stream()
                        .filter(name -> disturbedUntilMs.getOrDefault(name, 0L) <= nowMs)
                        .toList();
        int lost = topology.nodes() - present.size();
        return lost < topology.toleratedMachines() ? pick(present) : null;
    }

    private void killOne(long maxDownMs, boolean isWiped) {
        String node = pickNodeToDisturb();
        if (node == null) {
            return;
        }
        long restartMs = nowMs + 100 + random.nextLong(maxDownMs);
        List<String> wiped = isWiped ? List.of(node) : List.of();
        int maxNodesCatchingUp = isWiped ? topology.toleratedMachines() - 1 : NO_LIMIT;
        List<Fault> faults = List.of(new Fault.Kill(node));
        steps.add(new Step(nowMs, "kill " + node, faults, wiped, maxNodesCatchingUp));
        restart(node, restartMs);
    }

    private void terminateOne() {
        String node = pickNodeToDisturb();
        if (node != null) {
            add(nowMs, "terminate " + node, List.of(new Fault.Drain(node)));
            restart(node, nowMs + 500 + random.nextLong(4_000));
        }
    }

    private void suspendOne() {
        String node = pickNodeToDisturb();
        if (node != null) {
            long resumeMs = nowMs + 50 + random.nextLong(5_000);
            add(nowMs, "suspend " + node, List.of(new Fault.Pause(node)));
            add(resumeMs, "resume " + node, List.of(new Fault.Resume(node)));
            disturbedUntilMs.put(node, resumeMs + RESTART_RECOVERY_MS);
        }
    }

    private void killAll() {
        if (disturbedUntilMs.values().stream().allMatch(until -> until <= nowMs)) {
            add(nowMs, "kill all", kills());
            topology.names().forEach(node -> restart(node, nowMs + random.nextLong(1_000)));
        }
    }

    private List<Fault> kills() {
        return topology.names().stream().map(name -> (Fault) new Fault.Kill(name)).toList();
    }

    private void restart(String node, long atMs) {
        add(atMs, "start " + node, List.of(new Fault.Restart(node)));
        disturbedUntilMs.put(node, atMs + RESTART_RECOVERY_MS);
    }

    private void cut(long durationMs) {
        if (cutUntilMs > nowMs) {
            return;
        }
        cutUntilMs = nowMs + durationMs;
        switch (random.nextInt(5)) {
            case 0 -> cutOneNode();
            case 1 -> cutZones(1 + random.nextInt(topology.zones() - 1), true);
            case 2 -> cutZones(1 + random.nextInt(topology.zones() - 1), false);
            case 3 -> cutHalves();
            default -> cutBridge();
        }
        add(cutUntilMs, "heal", List.of(new Fault.HealAll()));
    }

    private void cutOneNode() {
        String node = pick(topology.names());
        List<String> others = topology.names().stream().filter(name -> !name.equals(node)).toList();
        cutBetween(List.of(node), others, true);
    }

    /** Separates some zones and their applications from the others, in one or both directions. */
    private void cutZones(int count, boolean isBidirectional) {
        List<String> zones = new ArrayList<>(topology.zoneNames());
        Collections.shuffle(zones, random);
        List<String> side = zones.subList(0, count);
        List<String> otherSide = zones.subList(count, zones.size());
        cutBetween(endpoints(side), endpoints(otherSide), isBidirectional);
    }

    /** Splits the nodes into two groups regardless of zones. */
    private void cutHalves() {
        List<String> names = new ArrayList<>(topology.names());
        Collections.shuffle(names, random);
        int size = 1 + random.nextInt(names.size() - 1);
        cutBetween(names.subList(0, size), names.subList(size, names.size()), true);
    }

    /** Separates two zones from each other while the others reach both. */
    private void cutBridge() {
        List<String> zones = new ArrayList<>(topology.zoneNames());
        Collections.shuffle(zones, random);
        cutBetween(endpoints(zones.subList(0, 1)), endpoints(zones.subList(1, 2)), true);
    }

    private List<String> endpoints(List<String> zones) {
        List<String> endpoints = new ArrayList<>();
        for (String zone : zones) {
            endpoints.addAll(topology.namesIn(zone));
            endpoints.add(ControlTopology.applicationsIn(zone));
        }
        return endpoints;
    }

    private void cutBetween(List<String> from, List<String> to, boolean isBidirectional) {
        List<Fault> faults = new ArrayList<>();
        for (String one : from) {
            for (String other : to) {
                faults.add(new Fault.Link(one, other, LinkFault.CUT));
                if (isBidirectional) {
                    faults.add(new Fault.Link(other, one, LinkFault.CUT));
                }
            }
        }
        add(nowMs, "cut " + nodes(from) + (isBidirectional ? " | " : " -> ") + nodes(to), faults);
    }

    private static String nodes(List<String> endpoints) {
        return endpoints.stream()
                .filter(name -> name.startsWith("n"))
                .sorted()
                .collect(Collectors.joining(" "));
    }

    private void waitForCalm() {
        long endMs = disturbedUntilMs.values().stream().mapToLong(until -> until).max().orElse(0);
        nowMs = Math.max(nowMs, Math.max(endMs, cutUntilMs)) + CALM_MS;
    }

    /** Draws the last fault; in half of the runs it happens during a partition. */
    private void drawFinalFault() {
        long endMs = disturbedUntilMs.values().stream().mapToLong(until -> until).max().orElse(0);
        nowMs = Math.max(nowMs, Math.max(endMs, cutUntilMs));
        boolean isDuringPartition = random.nextBoolean();
        if (isDuringPartition) {
            steps.add(new Step(nowMs, "all have settled", List.of(), List.of(), 0));
            cut(4_000);
            nowMs = cutUntilMs - 1;
        }
        List<String> wiped = new ArrayList<>(topology.names());
        Collections.shuffle(wiped, random);
        wiped = wiped.subList(0, topology.toleratedMachines());
        int maxNodesCatchingUp = isDuringPartition ? NO_LIMIT : 0;
        steps.add(new Step(nowMs, "final: kill all", kills(), wiped, maxNodesCatchingUp));
        nowMs++;
        topology.names().forEach(node -> restart(node, nowMs + random.nextLong(1_000)));
    }
}
