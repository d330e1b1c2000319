package myrtleladder.controlplane.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Injects a fault at each point of the protocol in turn: before and after each send, arrival, sync
 * and response, into the node that reaches the point. Guards against states that lose acknowledged
 * changes or block the cluster only if a node fails between two particular steps.
 */
class FaultPointTest {
    /** The period in which fault points are counted. */
    private static final long COUNTING_PERIOD_MS = 2_500;

    private static final long FAULT_DURATION_MS = 1_500;

    /** After the fault a change must be acknowledged within this time. */
    private static final long RECOVERY_TIMEOUT_MS = 12_000;

    /** Ordinary builds test one point out of this many; the long profile tests all. */
    private static final int POINT_STEP_IN_CI = 12;

    /** How many pairs of points the long profile tests. */
    private static final int PAIR_COUNT = 20_000;

    private static final int MAX_REPORTED = 5;

    private enum Fault {
        KILL,
        WIPE,
        FREEZE,
        PARTITION
    }

    /** The activity while points are counted. */
    private enum Scenario {
        /** Configuration changes, polls and departures. */
        CHANGES,
        /** In addition a machine is added and another one leaves. */
        REPLACEMENT
    }

    @Test
    void faultAtSomePointsLosesNothing() {
        assertEquals(List.of(), injectSingleFaults(POINT_STEP_IN_CI));
    }

    @Test
    @Tag("long")
    void faultAtEachPointLosesNothing() {
        assertEquals(List.of(), injectSingleFaults(1));
    }

    @Test
    @Tag("long")
    void faultsAtTwoPointsLoseNothingThatWasAcknowledged() {
        String test = "FaultPointTest#faultsAtTwoPointsLoseNothingThatWasAcknowledged";
        assertEquals(
                List.of(),
                new Sweep("pairs", test, 0, PAIR_COUNT).run(FaultPointTest::injectTwoFaults));
    }

    private static List<String> injectSingleFaults(int step) {
        List<String> found = new ArrayList<>();
        for (Scenario scenario : Scenario.values()) {
            for (int size : new int[] {3, 4, 5, 8}) {
                int points = run(scenario, size, List.of()).pointCount;
                assertTrue(points > 100, scenario + " has " + points + " points");
                for (Fault fault : Fault.values()) {
                    IntStream.range(0, points)
                            .filter(point -> point % step == size % step)
                            .parallel()
                            .mapToObj(
                                    point ->
                                            run(
                                                    scenario,
                                                    size,
                                                    List.of(new InjectionPoint(point, fault))))
                            .filter(run -> !run.violations.isEmpty())
                            .limit(MAX_REPORTED)
                            .forEachOrdered(run -> found.add(run.toString()));
                }
            }
        }
        return found;
    }

    /** Two overlapping faults may exceed what is tolerated; then the cluster may be unavailable. */
    private static String injectTwoFaults(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Scenario scenario = Scenario.values()[random.nextInt(Scenario.values().length)];
        int size = new int[] {3, 4, 5, 8}[random.nextInt(4)];
        int first = random.nextInt(600);
        Fault fault = Fault.values()[random.nextInt(Fault.values().length)];
        Fault other = random.nextBoolean() ? Fault.KILL : Fault.PARTITION;
        List<InjectionPoint> injections =
                List.of(
                        new InjectionPoint(first, fault),
                        new InjectionPoint(first + 1 + random.nextInt(200), other));
        Run run = run(scenario, size, injections);
        return run.violations.isEmpty() ? "" : run.toString();
    }

    private record InjectionPoint(int point, Fault fault) {}

    /** One run with faults at points that are counted from the start of the scenario. */
    private static final class Run {
        final SimulatedCluster cluster;
        final Scenario scenario;
        final List<InjectionPoint> injections;
        final List<String> violations = new ArrayList<>();
        int pointCount;

        Run(Scenario scenario, int size, List<InjectionPoint> injections) {
            this.scenario = scenario;
            this.injections = injections;
            this.cluster = SimulatedCluster.ofSize(size).seed(size).build();
        }

        void run() {
            cluster.start();
            cluster.clock.run(1_500);
            cluster.onFaultPoint(this::onFaultPoint);
            if (scenario == Scenario.REPLACEMENT) {
                replace();
            }
            cluster.clock.run(COUNTING_PERIOD_MS);
            cluster.onFaultPoint(node -> {});
            cluster.clock.run(FAULT_DURATION_MS);
            cluster.heal();
            cluster.clock.run(2 * SimulatedCluster.CATCH_UP_MS);
            if (mustRecover()) {
                cluster.expectAcknowledgement(RECOVERY_TIMEOUT_MS, "after the loss");
                cluster.expectAllAreMembers("after the loss");
            }
            violations.addAll(cluster.history.violations());
        }

        private void replace() {
            cluster.addMachine().start(false);
            SimulatedNode leaving = cluster.nodes().get(0);
            cluster.clock.schedule(
                    COUNTING_PERIOD_MS / 2, () -> leaving.terminate(() -> cluster.remove(leaving)));
        }

        private void onFaultPoint(SimulatedNode node) {
            int point = pointCount++;
            for (InjectionPoint injection : injections) {
                if (injection.point == point) {
                    inject(node, injection.fault);
                }
            }
        }

        private void inject(SimulatedNode node, Fault fault) {
            switch (fault) {
                case KILL -> node.kill();
                case WIPE -> node.wipe();
                case FREEZE -> node.freeze(FAULT_DURATION_MS);
                case PARTITION -> cluster.isolate(node);
                default -> throw new IllegalStateException(fault.toString());
            }
        }

        /**
         * A disk lost during a replacement, or with another fault, may exceed what is tolerated.
         */
        private boolean mustRecover() {
            boolean isDiskLost =
                    injections.stream().anyMatch(injection -> injection.fault == Fault.WIPE);
            return !isDiskLost || (injections.size() == 1 && scenario == Scenario.CHANGES);
        }

        @Override
        public String toString() {
            return scenario
                    + " of "
                    + cluster.nodes().size()
                    + " "
                    + injections
                    + ": "
                    + violations;
        }
    }

    private static Run run(Scenario scenario, int size, List<InjectionPoint> injections) {
        Run run = new Run(scenario, size, injections);
        run.run();
        return run;
    }
}
