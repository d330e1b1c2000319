package myrtleladder.testbed.fake;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.Map;
import myrtleladder.testbed.checker.Rules;
import myrtleladder.testbed.fake.UpstreamModel.End;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The stand-in does the work that its machine can do, no more and no less, and fails as real ones
 * do.
 */
class UpstreamModelTest {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000 * MS;
    private static final long FAR = 1_000 * SECOND;
    private static final Rules RULES = new Rules(0, 0, 0.25, 8 * SECOND, 3, SECOND);
    private static final long WARM = 8 * SECOND;

    private final Map<Long, End> ends = new LinkedHashMap<>();
    private boolean fell;
    private long now;
    private UpstreamModel model;

    private void start(UpstreamProfile kind) {
        model =
                new UpstreamModel(
                        kind,
                        3,
                        0,
                        new UpstreamModel.Out() {
                            @Override
                            public void end(long ticket, End end) {
                                ends.put(ticket, end);
                            }

                            @Override
                            public void fall() {
                                fell = true;
                            }
                        });
    }

    private static UpstreamProfile kind(int queue, double keySaving) {
        return new UpstreamProfile(
                2, 0.5, queue, 9, 5 * SECOND, 2, keySaving, SECOND, SECOND / 2, 0, RULES);
    }

    /** Lets time pass, event by event. */
    private void until(long time) {
        while (model.next() <= time) {
            now = model.next();
            model.due(now);
        }
        now = time;
    }

    private void arrive(long ticket, String key, double work) {
        model.arrived(now, ticket, key, work, FAR);
    }

    /** Work of 20 ms on two cores at half speed: a request each 20 ms, however many come. */
    @ParameterizedTest
    @CsvSource({"5, 200", "10, 100", "20, 50"})
    void aBusyOneServesWhatItsCoresCanDo(int everyMs, int sent) {
        start(kind(10_000, 0));
        now = WARM;
        for (int i = 0; i < sent; i++) {
            arrive(i, null, 20 * MS);
            until(WARM + (i + 1L) * everyMs * MS);
        }
        assertEquals(50, ends.size(), 2);
        assertEquals(1, Double.parseDouble(utilisation(WARM + SECOND + SECOND / 2)), 0.05);
    }

    private String utilisation(long at) {
        return model.report(at).replaceAll("cpu=([0-9.]+),.*", "$1");
    }

    @Test
    void whatFindsTheQueueFullIsTurnedAwayAndSoIsAllThatComesWhileItDrains() {
        start(kind(1, 0));
        now = WARM;
        for (int i = 0; i < 4; i++) {
            arrive(i, null, 20 * MS);
        }
        assertEquals(Map.of(3L, End.TURNED_AWAY), ends);
        model.drain();
        arrive(4, null, 20 * MS);
        until(FAR);
        assertEquals(
                Map.of(
                        0L,
                        End.SERVED,
                        1L,
                        End.SERVED,
                        2L,
                        End.SERVED,
                        3L,
                        End.TURNED_AWAY,
                        4L,
                        End.TURNED_AWAY),
                ends);
    }

    /** A quarter of its speed at the start, all of it when warm. */
    @ParameterizedTest
    @CsvSource({"0, 160", "4000000, 64", "8000000, 40"})
    void aColdOneIsSlowerAndWarmsUp(long age, long tookMs) {
        start(kind(10, 0));
        now = age;
        arrive(1, null, 20 * MS);
        assertEquals(age + tookMs * MS, model.next());
    }

    /**
     * Bears three times a quarter of its two cores at half speed: 750 ms of work within a second.
     */
    @ParameterizedTest
    @CsvSource({"0, 38, true", "0, 37, false", "8000000, 400, false"})
    void aColdOneFallsOverWhenPushed(long age, int requests, boolean over) {
        start(kind(10_000, 0));
        now = age;
        for (int i = 0; i < requests; i++) {
            arrive(i, null, 20 * MS);
        }
        assertEquals(over, fell);
        assertEquals(over, model.down());
        assertEquals(over, model.next() == Long.MAX_VALUE);
    }

    @Test
    void aKeyThatItRemembersIsCheaperUntilItsTimeOrItsPlaceIsGone() {
        start(kind(10, 0.5));
        now = WARM;
        long first = took("k");
        assertEquals(first / 2, took("k"));
        took("l");
        took("m"); // there is room for two
        assertEquals(first, took("k"));
        now += 6 * SECOND;
        assertEquals(first, took("k"));
    }

    private long took(String key) {
        arrive(now, key, 20 * MS);
        long took = model.next() - now;
        until(model.next());
        return took;
    }

    @Test
    void aHangingOneTakesAllAndGoesOnWithItAfterwards() {
        start(kind(1, 0));
        now = WARM;
        model.hang(now, true);
        for (int i = 0; i < 5; i++) {
            arrive(i, null, 20 * MS);
        }
        until(WARM + 20 * SECOND);
        assertTrue(ends.isEmpty());
        model.hang(now, false);
        until(FAR);
        assertEquals(5, ends.values().stream().filter(e -> e == End.SERVED).count());
    }

    @Test
    void aReportTellsOfAWhileAgo() {
        start(kind(10, 0));
        assertNull(model.report(SECOND + SECOND / 2 - 1));
        assertEquals("0.000", utilisation(SECOND + SECOND / 2));
    }
}
