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
 * Draws the faults of a run from its seed: faults of processes, wiped disks and cuts, one after the
 * other and overlapping. At most the tolerated number of machines is disturbed at once, cuts and
 * the end of all processes apart. The last fault kills all and wipes as many disks as may be lost.
 */
final class SoakSchedule {
    /** How long a node counts as lost after it was started or resumed; for slow starts. */
    private static final long RETURN_MS = 7_000;

    private static final long FIRST_FAULT_MS = 1_500;
    private static final long MAX_GAP_MS = 2_000;
    private static final long MAX_CUT_MS = 9_000;
    private static final long CALM_MS = 6_000;

    /** How many kinds of faults are tried for one that is possible. */
    private static final int MAX_DRAWS = 10;

    private static final int ANY_NUMBER = Integer.MAX_VALUE;

    private final Random random;
    private final ControlTopology topology;
    private final List<Step> steps = new ArrayList<>();
    private final Map<String, Long> lostUntilMs = new HashMap<>();
    private long nowMs = FIRST_FAULT_MS;
    private long cutUntilMs;

    /**
     * Faults that are brought about at once.
     *
     * @param wiped nodes whose disks are emptied after the faults
     * @param maxUnsettled the step waits until at most so many nodes have not settled
     */
    record Step(long atMs, String text, List<Fault> faults, List<String> wiped, int maxUnsettled) {
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
        schedule.drawEnd();
        schedule.steps.sort(Comparator.comparingLong(Step::atMs));
        return schedule.steps;
    }

    private void drawNext() {
        int stepsBefore = steps.size();
        for (int i = 0; i < MAX_DRAWS && steps.size() == stepsBefore; i++) {
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
        }
    }

    private <T> T pick(List<T> choices) {
        return choices.get(random.nextInt(choices.size()));
    }

    private void add(long atMs, String text, List<Fault> faults) {
        steps.add(new Step(atMs, text, faults, List.of(), ANY_NUMBER));
    }

    /** A node that may be lost now, null if there is none. */
    private String nodeToLose() {
        List<String> present =
                topology.names().stream()
                        .filter(name -> lostUntilMs.getOrDefault(name, 0L) <= nowMs)
                        .toList();
        int lost = topology.nodes() - present.size();
        return lost < topology.toleratedMachines() ? pick(present) : null;
    }

    private void killOne(long maxDownMs, boolean isWiped) {
        String node = nodeToLose();
        if (node == null) {
            return;
        }
        long restartMs = nowMs + 100 + random.nextLong(maxDownMs);
        List<String> wiped = isWiped ? List.of(node) : List.of();
        int maxUnsettled = isWiped ? topology.toleratedMachines() - 1 : ANY_NUMBER;
        List<Fault> faults = List.of(new Fault.Kill(node));
        steps.add(new Step(nowMs, "kill " + node, faults, wiped, maxUnsettled));
        restart(node, restartMs);
    }

    private void terminateOne() {
        String node = nodeToLose();
        if (node != null) {
            add(nowMs, "terminate " + node, List.of(new Fault.Drain(node)));
            restart(node, nowMs + 500 + random.nextLong(4_000));
        }
    }

    private void suspendOne() {
        String node = nodeToLose();
        if (node != null) {
            long resumeMs = nowMs + 50 + random.nextLong(5_000);
            add(nowMs, "suspend " + node, List.of(new Fault.Pause(node)));
            add(resumeMs, "resume " + node, List.of(new Fault.Resume(node)));
            lostUntilMs.put(node, resumeMs + RETURN_MS);
        }
    }

    private void killAll() {
        if (lostUntilMs.values().stream().allMatch(until -> until <= nowMs)) {
            add(nowMs, "kill all", kills());
            topology.names().forEach(node -> restart(node, nowMs + random.nextLong(1_000)));
        }
    }

    private List<Fault> kills() {
        return topology.names().stream().map(name -> (Fault) new Fault.Kill(name)).toList();
    }

    private void restart(String node, long atMs) {
        add(atMs, "start " + node, List.of(new Fault.Restart(node)));
        lostUntilMs.put(node, atMs + RETURN_MS);
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

    /** Some zones with their applications from the others, in both directions or in one. */
    private void cutZones(int count, boolean isBothWays) {
        List<String> zones = new ArrayList<>(topology.zoneNames());
        Collections.shuffle(zones, random);
        List<String> side = zones.subList(0, count);
        List<String> otherSide = zones.subList(count, zones.size());
        cutBetween(endpoints(side), endpoints(otherSide), isBothWays);
    }

    /** The nodes in two groups that have nothing to do with zones. */
    private void cutHalves() {
        List<String> names = new ArrayList<>(topology.names());
        Collections.shuffle(names, random);
        int size = 1 + random.nextInt(names.size() - 1);
        cutBetween(names.subList(0, size), names.subList(size, names.size()), true);
    }

    /** Two zones can't reach each other while the others reach both. */
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

    private void cutBetween(List<String> from, List<String> to, boolean isBothWays) {
        List<Fault> faults = new ArrayList<>();
        for (String one : from) {
            for (String other : to) {
                faults.add(new Fault.Link(one, other, LinkFault.CUT));
                if (isBothWays) {
                    faults.add(new Fault.Link(other, one, LinkFault.CUT));
                }
            }
        }
        add(nowMs, "cut " + nodes(from) + (isBothWays ? " | " : " -> ") + nodes(to), faults);
    }

    private static String nodes(List<String> endpoints) {
        return endpoints.stream()
                .filter(name -> name.startsWith("n"))
                .sorted()
                .collect(Collectors.joining(" "));
    }

    private void waitForCalm() {
        long endMs = lostUntilMs.values().stream().mapToLong(until -> until).max().orElse(0);
        nowMs = Math.max(nowMs, Math.max(endMs, cutUntilMs)) + CALM_MS;
    }

    /** The last fault, in half of the runs during a cut. */
    private void drawEnd() {
        long endMs = lostUntilMs.values().stream().mapToLong(until -> until).max().orElse(0);
        nowMs = Math.max(nowMs, Math.max(endMs, cutUntilMs));
        boolean isCut = random.nextBoolean();
        if (isCut) {
            steps.add(new Step(nowMs, "all have settled", List.of(), List.of(), 0));
            cut(4_000);
            nowMs = cutUntilMs - 1;
        }
        List<String> wiped = new ArrayList<>(topology.names());
        Collections.shuffle(wiped, random);
        wiped = wiped.subList(0, topology.toleratedMachines());
        int maxUnsettled = isCut ? ANY_NUMBER : 0;
        steps.add(new Step(nowMs, "final: kill all", kills(), wiped, maxUnsettled));
        nowMs++;
        topology.names().forEach(node -> restart(node, nowMs + random.nextLong(1_000)));
    }
}
