package myrtleladder.controlplane.model;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A drawn run: losses that overlap and follow each other as closely as the deployments allow, each
 * beginning once the machines of the one before have been back for the catch-up time.
 */
final class FaultSchedule {
    private static final long ACKNOWLEDGED_WITHIN = 4_000;
    private static final long RECOVERED_WITHIN = 12_000;
    private static final int[] SIZES = {3, 4, 3, 5, 8};
    private static final int LEAST_FOR_TWO = 5;
    private static final long AFTER_PROMISE = 1_500;
    private static final long LEAVING_TAKES = 4_500;

    /** What happens to machines. */
    enum Loss {
        KILL,
        POWER_OFF,
        WIPE,
        WIPE_AND_POWER_OFF,
        FREEZE,
        CUT,
        CUT_ONE_WAY,
        SLOW_LINK,
        REPLACE,
        REPLACE_PLANNED,
        RESTART,
        DISK_SLOW,
        DISK_STALLED,
        DISK_FULL,
        KILL_ALL,
        POWER_OFF_ALL,
        HALVES,
        SECOND_CUT
    }

    private final SimulatedCluster model;
    private final SplittableRandom random;
    private final StringBuilder story = new StringBuilder();
    private long nextAfter;

    private FaultSchedule(long seed, Safeguard missing) {
        this.random = new SplittableRandom(seed * 31 + 7);
        int size = SIZES[(int) (seed % SIZES.length)];
        int tolerated = size >= LEAST_FOR_TWO ? 2 : 1;
        this.model = new SimulatedCluster(seed, size, tolerated, 4_000, missing);
    }

    /** What went wrong in the run of a seed. */
    static List<String> faults(long seed, Safeguard missing) {
        FaultSchedule schedule = new FaultSchedule(seed, missing);
        schedule.play(2 + schedule.random.nextInt(2));
        List<String> faults = new ArrayList<>(schedule.model.history.faults());
        if (!faults.isEmpty()) {
            faults.add("schedule: " + schedule.story);
        }
        return faults;
    }

    private void play(int losses) {
        model.begin();
        model.clock.run(1_500 + random.nextInt(500));
        for (int i = 0; i < losses && model.history.faults().isEmpty(); i++) {
            model.operators.forEach(o -> o.loses(random.nextInt(3) == 0 ? 0.6 : 0));
            Loss loss = Loss.values()[random.nextInt(Loss.values().length)];
            story.append(loss).append('@').append(model.clock.now() % 100_000).append(' ');
            if (random.nextBoolean()) {
                model.awaitPromise(AFTER_PROMISE);
                model.clock.run(random.nextInt(2) * random.nextInt(400));
            }
            nextAfter = model.catchUpMs();
            strike(loss);
            model.clock.run(nextAfter + random.nextInt(4) * random.nextInt(250));
        }
        if (model.history.faults().isEmpty()) {
            model.operators.forEach(o -> o.loses(0));
            model.expectAcknowledgement(RECOVERED_WITHIN, "after all");
            model.expectWhole("after all");
        }
    }

    private List<SimulatedNode> victims() {
        List<SimulatedNode> nodes = new ArrayList<>(model.listedNodes());
        List<SimulatedNode> victims = new ArrayList<>();
        int count = 1 + random.nextInt(model.tolerated);
        SimulatedNode leader = model.leader();
        if (leader != null && random.nextInt(3) == 0) {
            victims.add(leader);
        }
        while (victims.size() < count) {
            SimulatedNode node = nodes.get(random.nextInt(nodes.size()));
            if (!victims.contains(node)) {
                victims.add(node);
            }
        }
        return victims;
    }

    private void strike(Loss loss) {
        List<SimulatedNode> victims = victims();
        story.append(victims.stream().map(v -> v.address).toList()).append(' ');
        switch (loss) {
            case KILL -> during(victims, SimulatedNode::kill, 200 + random.nextInt(3_000));
            case POWER_OFF -> during(victims, SimulatedNode::powerOff, 500 + random.nextInt(6_000));
            case WIPE -> during(victims, SimulatedNode::wipe, 300 + random.nextInt(6_000));
            case WIPE_AND_POWER_OFF -> wipeAndPowerOff(victims);
            case FREEZE -> freeze(victims);
            case CUT -> cut(victims, false);
            case CUT_ONE_WAY -> cut(victims, true);
            case SLOW_LINK -> during(victims, v -> model.network.slow(v.address), 4_000);
            case REPLACE -> replace(victims);
            case REPLACE_PLANNED -> replacePlanned(victims);
            case RESTART -> restart(victims);
            case DISK_SLOW -> disks(victims, SimulatedDisk.Mode.SLOW);
            case DISK_STALLED -> disks(victims, SimulatedDisk.Mode.STALLED);
            case DISK_FULL -> disks(victims, SimulatedDisk.Mode.FULL);
            case KILL_ALL ->
                    during(model.listedNodes(), SimulatedNode::kill, 300 + random.nextInt(700));
            case POWER_OFF_ALL ->
                    during(
                            model.listedNodes(),
                            SimulatedNode::powerOff,
                            300 + random.nextInt(1_000));
            case HALVES -> halves();
            case SECOND_CUT -> secondCut(victims);
            default -> throw new IllegalStateException(loss.toString());
        }
    }

    private interface Blow {
        void strike(SimulatedNode node);
    }

    /** Strikes machines and mends all after a time; service has to go on meanwhile if it may. */
    private void during(List<SimulatedNode> victims, Blow blow, long span) {
        new ArrayList<>(victims).forEach(blow::strike);
        boolean served = victims.size() <= model.tolerated;
        long settled = 3_000;
        if (served && span > settled + ACKNOWLEDGED_WITHIN) {
            model.clock.run(settled);
            model.expectAcknowledgement(ACKNOWLEDGED_WITHIN, "while " + victims + " are lost");
        } else {
            model.clock.run(span);
        }
        model.mend();
    }

    private void wipeAndPowerOff(List<SimulatedNode> victims) {
        for (SimulatedNode node : model.listedNodes()) {
            if (victims.contains(node)) {
                node.wipe();
            } else {
                node.powerOff();
            }
        }
        model.clock.run(300 + random.nextInt(900));
        model.mend();
    }

    private void freeze(List<SimulatedNode> victims) {
        long span = 300 + random.nextInt(9_000);
        victims.forEach(v -> v.freeze(span));
        model.clock.run(span + 10);
    }

    private void cut(List<SimulatedNode> victims, boolean oneWay) {
        boolean out = random.nextBoolean();
        for (SimulatedNode victim : victims) {
            for (SimulatedNode other : model.listedNodes()) {
                if (victims.contains(other)) {
                    continue;
                }
                if (!oneWay) {
                    model.network.cut(victim.address, other.address);
                } else if (out) {
                    model.network.cutOneWay(victim.address, other.address);
                } else {
                    model.network.cutOneWay(other.address, victim.address);
                }
            }
        }
        during(victims, v -> {}, 500 + random.nextInt(8_000));
    }

    /** The machines are gone for good; empty ones come a second later at new addresses. */
    private void replace(List<SimulatedNode> victims) {
        victims.forEach(model::remove);
        model.clock.run(1_000);
        victims.forEach(v -> model.addMachine().start(false));
    }

    /**
     * The new machines come first; then the old ones are asked to end. Once those are gone, the
     * next loss may come as soon as the new ones have had their time.
     */
    private void replacePlanned(List<SimulatedNode> victims) {
        List<SimulatedNode> added = new ArrayList<>();
        victims.forEach(v -> added.add(model.addMachine()));
        added.forEach(a -> a.start(false));
        long whole = model.clock.now() + model.catchUpMs();
        model.clock.run(random.nextBoolean() ? 1_000 : model.catchUpMs() + random.nextInt(500));
        int[] left = {victims.size()};
        for (SimulatedNode victim : victims) {
            victim.terminate(
                    () -> {
                        model.remove(victim);
                        left[0]--;
                    });
        }
        for (long waited = 0; left[0] > 0 && waited < LEAVING_TAKES; waited++) {
            model.clock.run(1);
        }
        nextAfter = Math.max(0, whole - model.clock.now());
    }

    /** Asked to end and started again, with the disk as it was. */
    private void restart(List<SimulatedNode> victims) {
        for (SimulatedNode victim : victims) {
            victim.terminate(
                    () ->
                            model.clock.schedule(
                                    200,
                                    () -> {
                                        if (!victim.up()) {
                                            victim.start(false);
                                        }
                                    }));
        }
        model.clock.run(5_000);
    }

    private void disks(List<SimulatedNode> victims, SimulatedDisk.Mode mode) {
        during(victims, v -> v.disk().mode(mode), 1_000 + random.nextInt(8_000));
    }

    private void halves() {
        List<SimulatedNode> nodes = model.listedNodes();
        for (SimulatedNode one : nodes.subList(0, nodes.size() / 2)) {
            for (SimulatedNode other : nodes.subList(nodes.size() / 2, nodes.size())) {
                model.network.cut(one.address, other.address);
            }
        }
        model.clock.run(1_000 + random.nextInt(5_000));
        model.mend();
    }

    /** More is cut off than may be lost at a time: nothing has to be served, nothing is lost. */
    private void secondCut(List<SimulatedNode> victims) {
        List<SimulatedNode> nodes = model.listedNodes();
        victims.forEach(SimulatedNode::kill);
        model.clock.run(random.nextInt(1_500));
        SimulatedNode other = nodes.get(random.nextInt(nodes.size()));
        for (SimulatedNode node : nodes) {
            if (node != other) {
                model.network.cut(node.address, other.address);
            }
        }
        model.clock.run(500 + random.nextInt(2_500));
        model.mend();
        model.clock.run(1_000);
    }
}
