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
 * Each point of the protocol in turn, before and after each send, arrival, sync and answer, is hit
 * by a loss of the node at which it lies.
 */
class FaultPointTest {
    private static final long CATCH_UP = 4_000;
    private static final long WINDOW = 2_500;
    private static final long AWAY = 1_500;
    private static final long RECOVERED_WITHIN = 12_000;
    private static final int EACH_IN_CI = 12;
    private static final int PAIRS = 20_000;
    private static final int SHOWN = 5;

    private enum Strike {
        KILL,
        WIPE,
        FREEZE,
        CUT
    }

    /** What goes on while the points are counted. */
    private enum Scene {
        /** Orders, polls and departures. */
        ORDERS,
        /** A machine is added and another one leaves besides. */
        REPLACEMENT
    }

    @Test
    void aLossAtAPointOfTheProtocolLosesNothing() {
        assertEquals(List.of(), single(EACH_IN_CI));
    }

    @Test
    @Tag("long")
    void aLossAtEachPointOfTheProtocolLosesNothing() {
        assertEquals(List.of(), single(1));
    }

    @Test
    @Tag("long")
    void lossesAtTwoPointsLoseNothingThatWasAcknowledged() {
        List<String> found =
                IntStream.range(0, PAIRS)
                        .parallel()
                        .mapToObj(FaultPointTest::pair)
                        .filter(fault -> !fault.isEmpty())
                        .limit(SHOWN)
                        .toList();
        assertEquals(List.of(), found);
    }

    private static List<String> single(int each) {
        List<String> found = new ArrayList<>();
        for (Scene scene : Scene.values()) {
            for (int size : new int[] {3, 4, 5, 8}) {
                int points = play(scene, size, List.of()).seen;
                assertTrue(points > 100, scene + " has " + points + " points");
                for (Strike strike : Strike.values()) {
                    IntStream.range(0, points)
                            .filter(point -> point % each == size % each)
                            .parallel()
                            .mapToObj(point -> play(scene, size, List.of(new Hit(point, strike))))
                            .filter(play -> !play.faults.isEmpty())
                            .limit(SHOWN)
                            .forEachOrdered(play -> found.add(play.toString()));
                }
            }
        }
        return found;
    }

    /** Two losses that overlap may be more than is borne: then only nothing may be lost. */
    private static String pair(int number) {
        SplittableRandom random = new SplittableRandom(number);
        Scene scene = Scene.values()[random.nextInt(Scene.values().length)];
        int size = new int[] {3, 4, 5, 8}[random.nextInt(4)];
        int first = random.nextInt(600);
        Strike strike = Strike.values()[random.nextInt(Strike.values().length)];
        Strike other = random.nextBoolean() ? Strike.KILL : Strike.CUT;
        List<Hit> hits =
                List.of(new Hit(first, strike), new Hit(first + 1 + random.nextInt(200), other));
        Play play = play(scene, size, hits);
        return play.faults.isEmpty() ? "" : play.toString();
    }

    private record Hit(int point, Strike strike) {}

    /** One run with losses at points that are counted from the beginning of the scene. */
    private static final class Play {
        final SimulatedCluster model;
        final Scene scene;
        final List<Hit> hits;
        final List<String> faults = new ArrayList<>();
        int seen;

        Play(Scene scene, int size, List<Hit> hits) {
            this.scene = scene;
            this.hits = hits;
            this.model = new SimulatedCluster(size, size, size >= 5 ? 2 : 1, CATCH_UP, null);
        }

        void run() {
            model.begin();
            model.clock.run(1_500);
            model.atPoints(this::point);
            if (scene == Scene.REPLACEMENT) {
                replace();
            }
            model.clock.run(WINDOW);
            model.atPoints(node -> {});
            model.clock.run(AWAY);
            model.mend();
            model.clock.run(2 * CATCH_UP);
            if (servesAfterwards()) {
                model.expectAcknowledgement(RECOVERED_WITHIN, "after the loss");
                model.expectWhole("after the loss");
            }
            faults.addAll(model.history.faults());
        }

        private void replace() {
            model.addMachine().start(false);
            SimulatedNode leaves = model.listedNodes().get(0);
            model.clock.schedule(WINDOW / 2, () -> leaves.terminate(() -> model.remove(leaves)));
        }

        private void point(SimulatedNode node) {
            int point = seen++;
            for (Hit hit : hits) {
                if (hit.point == point) {
                    strike(node, hit.strike);
                }
            }
        }

        private void strike(SimulatedNode node, Strike strike) {
            switch (strike) {
                case KILL -> node.kill();
                case WIPE -> node.wipe();
                case FREEZE -> node.freeze(AWAY);
                case CUT -> cut(node);
                default -> throw new IllegalStateException(strike.toString());
            }
        }

        private void cut(SimulatedNode node) {
            for (SimulatedNode other : model.listedNodes()) {
                if (other != node) {
                    model.network.cut(node.address, other.address);
                }
            }
        }

        /**
         * A disk that is lost beside a replacement, or beside another loss, may be one too many.
         */
        private boolean servesAfterwards() {
            boolean disk = hits.stream().anyMatch(hit -> hit.strike == Strike.WIPE);
            return !disk || hits.size() == 1 && scene == Scene.ORDERS;
        }

        @Override
        public String toString() {
            return scene + " of " + model.listedNodes().size() + " " + hits + ": " + faults;
        }
    }

    private static Play play(Scene scene, int size, List<Hit> hits) {
        Play play = new Play(scene, size, hits);
        play.run();
        return play;
    }
}
